#include "ibisnotch/quarantine.h"

#include <deque>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

// Entry instances that run one caller's request on backend servers, each of which it kills, while
// crash marks travel with delay.
class PoisonedFleet
{
public:
    explicit PoisonedFleet(int instances)
    {
        for (int i = 0; i < instances; ++i)
            m_instances.emplace_back("e" + std::to_string(i), Quarantine::Limits{});
    }

    // The caller sends through an instance, which tries while it may.
    void send(std::size_t instance)
    {
        Quarantine &own = m_instances[instance];
        for (int attempt = 0; attempt < 3; ++attempt) {
            const auto answer = own.check("f", m_now);
            if (answer == QuarantineDecision::held || answer == QuarantineDecision::quarantined)
                return;
            if (answer == QuarantineDecision::trial)
                own.onTrialStarted("f");
            ++m_lost;
            const CrashMark mark = own.onServerCrashed("f", "s" + std::to_string(m_lost), m_now);
            own.onTrialFinished("f");
            for (std::size_t other = 0; other < m_instances.size(); ++other) {
                if (other != instance)
                    m_wire.push_back({other, mark});
            }
        }
    }

    void deliverAll()
    {
        for (const auto &[to, mark] : m_wire)
            m_instances[to].onMark(mark, m_now);
        m_wire.clear();
    }

    void advance(Duration by) { m_now += by; }
    int lost() const { return m_lost; }

private:
    std::vector<Quarantine> m_instances;
    std::deque<std::pair<std::size_t, CrashMark>> m_wire;
    TimePoint m_now = TimePoint(1h);
    int m_lost = 0;
};

} // namespace

// What the caller sees: an error, then "quarantined" wherever it sends again. In what order: the
// request kills a server, is tried once more and kills another; the caller goes from instance to
// instance. Why: marks are shared before the caller has its answer, and only one instance may try.
TEST_CASE("quarantine_callerResendsAnywhere_losesAtMostTwoServers")
{
    rc::prop("two servers at most while the quarantine lasts", [] {
        PoisonedFleet fleet(5);
        const int sends = *rc::gen::inRange(1, 30);
        Duration passed{};
        for (int i = 0; i < sends && passed < 9min; ++i) {
            fleet.send(*rc::gen::inRange<std::size_t>(0, 5));
            fleet.deliverAll();
            const auto pause = std::chrono::seconds(*rc::gen::inRange(0, 60));
            fleet.advance(pause);
            passed += pause;
        }
        RC_ASSERT(fleet.lost() <= 2);
    });
}

TEST_CASE("quarantine_afterItsTime_ends")
{
    Quarantine quarantine("a", {});
    quarantine.onServerCrashed("f", "s1", TimePoint());
    quarantine.onServerCrashed("f", "s2", TimePoint());
    CHECK(quarantine.check("f", TimePoint(1min)) == QuarantineDecision::quarantined);
    CHECK(quarantine.check("f", TimePoint(10min)) == QuarantineDecision::clear);
    CHECK(quarantine.size() == 0);
}

TEST_CASE("quarantine_requestAnsweredAfterAll_isCleared")
{
    Quarantine a("a", {});
    Quarantine b("b", {});
    b.onMark(a.onServerCrashed("f", "s1", TimePoint()), TimePoint());
    CHECK(b.check("f", TimePoint()) == QuarantineDecision::held);
    CHECK(a.check("f", TimePoint()) == QuarantineDecision::trial);
    for (const CrashMark &mark : a.onAnswered("f"))
        b.onMark(mark, TimePoint());
    CHECK(b.check("f", TimePoint()) == QuarantineDecision::clear);
}

TEST_CASE("requestFingerprint_ofTwoCustomers_differs")
{
    CHECK(requestFingerprint("a", "s", "body") != requestFingerprint("b", "s", "body"));
    CHECK(requestFingerprint("a", "sb", "ody") != requestFingerprint("a", "s", "body"));
}
