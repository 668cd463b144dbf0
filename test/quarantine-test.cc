#include "ibisnotch/quarantine.h"

#include <algorithm>
#include <deque>
#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

// Entry instances that run a request which crashes every backend server. Crash marks are delivered
// with a delay.
class CrashingRequestFleet
{
public:
    explicit CrashingRequestFleet(int instances)
    {
        for (int i = 0; i < instances; ++i)
            m_instances.emplace_back("e" + std::to_string(i), Quarantine::Limits{});
    }

    // Sends the request to an instance, which makes attempts as long as it may.
    void send(std::size_t instance)
    {
        Quarantine &own = m_instances[instance];
        for (int attempt = 0; attempt < 3; ++attempt) {
            const auto decision = own.check("f", m_now);
            if (decision == QuarantineDecision::held || decision == QuarantineDecision::quarantined)
                return;
            if (decision == QuarantineDecision::trial)
                own.onTrialStarted("f");
            ++m_crashedServers;
            const CrashMark mark
                = own.onServerCrashed("f", "s" + std::to_string(m_crashedServers), m_now);
            own.onTrialFinished("f");
            for (std::size_t other = 0; other < m_instances.size(); ++other) {
                if (other != instance)
                    m_inTransit.push_back({other, mark});
            }
        }
    }

    void deliverAll()
    {
        for (const auto &[to, mark] : m_inTransit)
            m_instances[to].onMark(mark, m_now);
        m_inTransit.clear();
    }

    void advance(Duration by) { m_now += by; }
    int crashedServers() const { return m_crashedServers; }

private:
    std::vector<Quarantine> m_instances;
    std::deque<std::pair<std::size_t, CrashMark>> m_inTransit;
    TimePoint m_now = TimePoint(1h);
    int m_crashedServers = 0;
};

} // namespace

// Guards against crashing a server at each instance to which a caller sends the same request again.
// Only one instance may try the request after the first crash, and marks are shared before the
// caller gets its response.
TEST_CASE("quarantine_callerResendsToAnyInstance_crashesAtMostTwoServers")
{
    rc::prop("at most two servers crash during the quarantine", [] {
        CrashingRequestFleet fleet(5);
        const int sends = *rc::gen::inRange(1, 30);
        Duration passed{};
        for (int i = 0; i < sends && passed < 9min; ++i) {
            fleet.send(*rc::gen::inRange<std::size_t>(0, 5));
            fleet.deliverAll();
            const auto pause = std::chrono::seconds(*rc::gen::inRange(0, 60));
            fleet.advance(pause);
            passed += pause;
        }
        RC_ASSERT(fleet.crashedServers() <= 2);
    });
}

TEST_CASE("quarantine_afterQuarantineTime_ends")
{
    Quarantine quarantine("a", {});
    quarantine.onServerCrashed("f", "s1", TimePoint());
    quarantine.onServerCrashed("f", "s2", TimePoint());
    CHECK(quarantine.check("f", TimePoint(1min)) == QuarantineDecision::quarantined);
    CHECK(quarantine.check("f", TimePoint(10min)) == QuarantineDecision::clear);
    CHECK(quarantine.size() == 0);
}

// Guards against a sound lookup that is refused for minutes, as its copies ran on several servers
// of a data centre that lost power.
TEST_CASE("quarantine_copiesLostToOneEvent_countAsOneCrash")
{
    rc::prop("any order of the marks", [] {
        const TimePoint now(1h);
        std::vector<Quarantine> instances;
        for (const char *name : {"e0", "e1", "e2"})
            instances.emplace_back(name, Quarantine::Limits{});
        std::vector<CrashMark> marks;
        const int servers = *rc::gen::inRange(2, 7);
        for (int server = 0; server < servers; ++server) {
            Quarantine &own = instances[*rc::gen::inRange<std::size_t>(0, instances.size())];
            const auto mark = own.onServerCrashed("f", "s" + std::to_string(server), 0, now);
            if (mark)
                marks.push_back(*mark);
        }
        std::mt19937 order(*rc::gen::arbitrary<std::uint32_t>());
        std::shuffle(marks.begin(), marks.end(), order);
        for (Quarantine &one : instances) {
            for (const CrashMark &mark : marks)
                one.onMark(mark, now);
        }
        int trials = 0;
        for (Quarantine &one : instances) {
            const auto decision = one.check("f", now);
            RC_ASSERT(decision != QuarantineDecision::quarantined);
            trials += decision == QuarantineDecision::trial ? 1 : 0;
        }
        RC_ASSERT(trials == 1);
    });
}

// Guards against servers that a request crashes one after the other although its first copies
// crashed several at once: after these it gets one trial.
TEST_CASE("quarantine_trialAfterCopiesCrashes_isTheLast")
{
    Quarantine a("a", {});
    Quarantine b("b", {});
    const TimePoint now(1h);
    const auto first = a.onServerCrashed("f", "s1", 0, now);
    CHECK_FALSE(a.onServerCrashed("f", "s2", 0, now));
    const auto other = b.onServerCrashed("f", "s3", 0, now);
    REQUIRE(first);
    REQUIRE(other);
    a.onMark(*other, now);
    b.onMark(*first, now);
    CHECK(b.check("f", now) == QuarantineDecision::held);
    REQUIRE(a.check("f", now) == QuarantineDecision::trial);
    const auto last = a.onServerCrashed("f", "s4", a.knownCrashes("f"), now);
    REQUIRE(last);
    b.onMark(*last, now);
    CHECK(a.check("f", now) == QuarantineDecision::quarantined);
    CHECK(b.check("f", now) == QuarantineDecision::quarantined);
}

// Guards against crashes that count as one event although instances that couldn't tell each other
// saw them long after each other.
TEST_CASE("quarantine_crashesOfCutOffInstances_countIfTimeLiesBetweenThem")
{
    const Duration between = GENERATE(Duration(1s), Duration(10s));
    Quarantine a("a", {});
    Quarantine b("b", {});
    const TimePoint now(1h);
    (void)a.onServerCrashed("f", "s1", now);
    (void)b.onServerCrashed("f", "s2", now + between);
    for (const CrashMark &mark : b.recentMarks(now + 15s, 10))
        a.onMark(mark, now + 15s);
    const bool isOneEvent = a.check("f", now + 15s) == QuarantineDecision::trial;
    CHECK(isOneEvent == (between == 1s));
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
