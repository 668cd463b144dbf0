#include "ibisnotch/membership.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

Member makeMember(const std::string &name, std::uint64_t incarnation)
{
    Member member;
    member.name = name;
    member.region = name.substr(0, 1);
    member.gossipAddress = name;
    member.incarnation = incarnation;
    return member;
}

// Instances that exchange probes through a network that loses, cuts and delays, on a paused clock.
class FakeFleet
{
public:
    FakeFleet(std::vector<std::string> names, std::uint64_t seed)
        : m_names(std::move(names)), m_random(seed)
    {
        for (const std::string &name : m_names)
            start(name, 1);
    }

    void start(const std::string &name, std::uint64_t incarnation)
    {
        m_nodes.erase(name);
        m_nodes.emplace(name, Membership(makeMember(name, incarnation), {m_names.front()}, {}));
    }

    void kill(const std::string &name) { m_nodes.erase(name); }
    void freeze(const std::string &name, bool frozen)
    {
        frozen ? (void)m_frozen.insert(name) : (void)m_frozen.erase(name);
    }
    void cut(const std::string &region, bool isCut) { m_cut = isCut ? region : ""; }
    void setLoss(double loss) { m_loss = loss; }
    Membership &node(const std::string &name) { return m_nodes.at(name); }

    void run(Duration time)
    {
        for (Duration passed{}; passed < time; passed += 100ms) {
            m_now += 100ms;
            for (auto &[name, node] : m_nodes) {
                if (m_frozen.count(name) == 0)
                    send(name, node.tick(m_now, m_random));
            }
            deliver();
        }
    }

    MemberState seen(const std::string &by, const std::string &whom)
    {
        for (const Member &member : m_nodes.at(by).members()) {
            if (member.name == whom)
                return member.state;
        }
        return MemberState::left;
    }

    TimePoint now() const { return m_now; }

private:
    void send(const std::string &from, const std::vector<OutgoingProbe> &probes)
    {
        for (const OutgoingProbe &probe : probes)
            m_wire.push_back({from, probe});
    }

    void deliver()
    {
        for (int round = 0; round < 4; ++round) {
            const auto wire = std::move(m_wire);
            m_wire.clear();
            for (const auto &[from, probe] : wire) {
                const bool across = !m_cut.empty()
                    && (from.substr(0, 1) == m_cut) != (probe.address.substr(0, 1) == m_cut);
                const auto node = m_nodes.find(probe.address);
                if (across || node == m_nodes.end() || m_frozen.count(probe.address) > 0
                    || m_random.uniform() < m_loss)
                    continue;
                send(probe.address, node->second.onProbe(probe.probe, from, m_now, m_random));
            }
        }
    }

    std::vector<std::string> m_names;
    Random m_random;
    std::map<std::string, Membership> m_nodes;
    std::set<std::string> m_frozen;
    std::string m_cut;
    double m_loss = 0;
    TimePoint m_now{};
    std::vector<std::pair<std::string, OutgoingProbe>> m_wire;
};

const std::vector<std::string> nine{"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"};

void checkAllSeeEachOther(FakeFleet &fleet)
{
    for (const std::string &by : nine) {
        for (const std::string &whom : nine) {
            INFO(by << " sees " << whom);
            if (by != whom)
                CHECK(fleet.seen(by, whom) == MemberState::alive);
        }
    }
}

} // namespace

TEST_CASE("membership_ofNine_findsEachOtherFromOneSeed")
{
    FakeFleet fleet(nine, 1);
    fleet.run(15s);
    checkAllSeeEachOther(fleet);
}

// What callers see: the same fleet from every instance. In what order: any, with some loss while
// the instances find each other. Why: news that stopped too early is made up for by the
// syncEntriesPerProbe.
TEST_CASE("membership_ofNineUnderLossAtTheStart_findsEachOtherAlways")
{
    rc::prop("all see all", [](std::uint64_t seed) {
        FakeFleet fleet(nine, seed);
        fleet.setLoss(0.05);
        fleet.run(15s);
        fleet.setLoss(0);
        fleet.run(30s);
        for (const std::string &by : nine) {
            for (const std::string &whom : nine)
                RC_ASSERT(by == whom || fleet.seen(by, whom) == MemberState::alive);
        }
    });
}

TEST_CASE("membership_killedInstance_isDeadEverywhereWithinSeconds")
{
    FakeFleet fleet(nine, 2);
    fleet.run(15s);
    fleet.kill("b2");
    fleet.run(20s);
    for (const std::string &by : nine) {
        if (by != "b2")
            CHECK(fleet.seen(by, "b2") == MemberState::dead);
    }
}

// What callers see: nothing. In what order: probes are lost, members are suspected. Why: a
// suspected member hears of it and refutes by a higher incarnation before the suspicion runs out.
TEST_CASE("membership_underLoss_keepsLiveMembers")
{
    FakeFleet fleet(nine, 3);
    fleet.run(15s);
    fleet.setLoss(0.1);
    fleet.run(120s);
    fleet.setLoss(0);
    fleet.run(30s);
    checkAllSeeEachOther(fleet);
}

// What callers see: the cut region goes on, and after the cut everything is as before. In what
// order: a region is cut off for minutes, both sides declare the other dead, the cut heals. Why:
// dead members are probed now and then, learn that they are thought dead, and refute it.
TEST_CASE("membership_afterARegionWasCutOff_heals")
{
    FakeFleet fleet(nine, 4);
    fleet.run(15s);
    fleet.cut("c", true);
    fleet.run(180s);
    CHECK(fleet.seen("a1", "c1") == MemberState::dead);
    CHECK(fleet.seen("c1", "c2") == MemberState::alive);
    CHECK(fleet.seen("c1", "a1") == MemberState::dead);
    fleet.cut("c", false);
    fleet.run(120s);
    checkAllSeeEachOther(fleet);
}

// What callers see: as above. In what order: the same, but the only seed has been gone for long.
// Why: it is the dead members that are probed, not only the seeds.
TEST_CASE("membership_afterACutWithoutItsSeed_heals")
{
    FakeFleet fleet(nine, 8);
    fleet.run(15s);
    fleet.kill("a1");
    fleet.run(30s);
    fleet.cut("c", true);
    fleet.run(180s);
    CHECK(fleet.seen("c1", "a2") == MemberState::dead);
    fleet.cut("c", false);
    fleet.run(180s);
    CHECK(fleet.seen("c1", "a2") == MemberState::alive);
    CHECK(fleet.seen("a2", "c1") == MemberState::alive);
    CHECK(fleet.seen("b1", "c3") == MemberState::alive);
}

// What callers see: no wave of instances leaving the list. In what order: an instance is frozen for
// a minute, wakes, and finds all its timers run out. Why: a gap between its own ticks tells it that
// it slept, so it excuses the others.
TEST_CASE("membership_wokenFromAFreeze_doesNotDeclareTheFleetDead")
{
    FakeFleet fleet(nine, 5);
    fleet.run(15s);
    fleet.freeze("a2", true);
    fleet.run(60s);
    CHECK(fleet.seen("b1", "a2") == MemberState::dead);
    fleet.freeze("a2", false);
    fleet.run(1s);
    CHECK(fleet.node("a2").consumeStall());
    for (const std::string &whom : nine) {
        if (whom != "a2")
            CHECK(fleet.seen("a2", whom) == MemberState::alive);
    }
    fleet.run(60s);
    checkAllSeeEachOther(fleet);
}

TEST_CASE("membership_restartedInstance_isAliveAgain")
{
    FakeFleet fleet(nine, 6);
    fleet.run(15s);
    fleet.kill("c3");
    fleet.run(20s);
    fleet.start("c3", 1000);
    fleet.run(30s);
    checkAllSeeEachOther(fleet);
}

TEST_CASE("membership_leavingInstance_isKnownAtOnceAndNotBroughtBack")
{
    FakeFleet fleet(nine, 7);
    fleet.run(15s);
    fleet.node("a3").leave();
    fleet.run(10s);
    for (const std::string &by : nine) {
        if (by != "a3")
            CHECK(fleet.seen(by, "a3") == MemberState::leaving);
    }
    Membership &b1 = fleet.node("b1");
    CHECK_FALSE(b1.applyUpdate(makeMember("a3", 1), fleet.now()));
}

TEST_CASE("overrides_ofAnyTwoClaims_isAStrictOrder")
{
    rc::prop("never both ways", [] {
        Member a = makeMember("a1", *rc::gen::inRange<std::uint64_t>(1, 4));
        Member b = makeMember("a1", *rc::gen::inRange<std::uint64_t>(1, 4));
        a.state = static_cast<MemberState>(*rc::gen::inRange(0, 5));
        b.state = static_cast<MemberState>(*rc::gen::inRange(0, 5));
        RC_ASSERT(!(overrides(a, b) && overrides(b, a)));
        RC_ASSERT(overrides(a, b) || overrides(b, a)
                  || (a.incarnation == b.incarnation && a.state == b.state));
    });
}
