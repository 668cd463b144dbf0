#include "ibisnotch/membership.h"

#include <algorithm>
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

// Instances that exchange probes over a simulated network with losses and partitions, on a
// simulated clock.
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
    void setStalled(const std::string &name, bool stalled)
    {
        stalled ? (void)m_stalled.insert(name) : (void)m_stalled.erase(name);
    }
    void setIsolated(const std::string &region, bool isolated)
    {
        m_isolatedRegion = isolated ? region : "";
    }
    void setLoss(double loss) { m_loss = loss; }
    // Lets instances exchange their whole tables too, as the control loop does.
    void enableExchanges() { m_exchanges = true; }
    Membership &node(const std::string &name) { return m_nodes.at(name); }

    void run(Duration time)
    {
        for (Duration passed{}; passed < time; passed += 100ms) {
            m_now += 100ms;
            for (auto &[name, node] : m_nodes) {
                if (m_stalled.count(name) > 0)
                    continue;
                send(name, node.tick(m_now, m_random));
                if (m_exchanges)
                    exchange(name, node);
            }
            deliver();
        }
    }

    MemberState stateSeenBy(const std::string &observer, const std::string &name)
    {
        for (const Member &member : m_nodes.at(observer).members()) {
            if (member.name == name)
                return member.state;
        }
        return MemberState::left;
    }

    TimePoint now() const { return m_now; }

private:
    void send(const std::string &from, const std::vector<OutgoingProbe> &probes)
    {
        for (const OutgoingProbe &probe : probes)
            m_inTransit.push_back({from, probe});
    }

    void exchange(const std::string &name, Membership &node)
    {
        const auto address = node.nextExchange(m_now, m_random);
        const auto other = address ? m_nodes.find(*address) : m_nodes.end();
        if (other == m_nodes.end() || m_random.uniform() < m_loss)
            return;
        std::vector<Member> members = other->second.members();
        members.push_back(other->second.self());
        if (node.onExchange(members, m_now))
            send(name, node.broadcastToRegion());
    }

    void deliver()
    {
        for (int round = 0; round < 4; ++round) {
            const auto inTransit = std::move(m_inTransit);
            m_inTransit.clear();
            for (const auto &[from, probe] : inTransit) {
                const bool isDropped = !m_isolatedRegion.empty()
                    && (from.substr(0, 1) == m_isolatedRegion)
                        != (probe.address.substr(0, 1) == m_isolatedRegion);
                const auto node = m_nodes.find(probe.address);
                if (isDropped || node == m_nodes.end() || m_stalled.count(probe.address) > 0
                    || m_random.uniform() < m_loss)
                    continue;
                send(probe.address, node->second.onProbe(probe.probe, from, m_now, m_random));
            }
        }
    }

    std::vector<std::string> m_names;
    Random m_random;
    std::map<std::string, Membership> m_nodes;
    std::set<std::string> m_stalled;
    std::string m_isolatedRegion;
    double m_loss = 0;
    bool m_exchanges = false;
    TimePoint m_now{};
    std::vector<std::pair<std::string, OutgoingProbe>> m_inTransit;
};

const std::vector<std::string> instanceNames{"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"};

void checkAllSeeEachOther(FakeFleet &fleet)
{
    for (const std::string &observer : instanceNames) {
        for (const std::string &name : instanceNames) {
            INFO(observer << " lists " << name);
            if (observer != name)
                CHECK(fleet.stateSeenBy(observer, name) == MemberState::alive);
        }
    }
}

} // namespace

TEST_CASE("membership_ofNine_findsEachOtherFromOneSeed")
{
    FakeFleet fleet(instanceNames, 1);
    fleet.run(15s);
    checkAllSeeEachOther(fleet);
}

// Guards against instances that never learn of a member because the updates about it were lost. The
// sync entries in each probe make up for lost updates.
TEST_CASE("membership_ofNineUnderLossAtTheStart_findsEachOtherAlways")
{
    rc::prop("each instance knows all others", [](std::uint64_t seed) {
        FakeFleet fleet(instanceNames, seed);
        fleet.setLoss(0.05);
        fleet.run(15s);
        fleet.setLoss(0);
        fleet.run(30s);
        for (const std::string &observer : instanceNames) {
            for (const std::string &name : instanceNames)
                RC_ASSERT(observer == name
                          || fleet.stateSeenBy(observer, name) == MemberState::alive);
        }
    });
}

TEST_CASE("membership_killedInstance_isDeadEverywhereWithinSeconds")
{
    FakeFleet fleet(instanceNames, 2);
    fleet.run(15s);
    fleet.kill("b2");
    fleet.run(20s);
    for (const std::string &observer : instanceNames) {
        if (observer != "b2")
            CHECK(fleet.stateSeenBy(observer, "b2") == MemberState::dead);
    }
}

// Guards against declaring a live member dead when probes are lost: a suspect member refutes the
// suspicion by a higher incarnation before it times out.
TEST_CASE("membership_underLoss_keepsLiveMembers")
{
    FakeFleet fleet(instanceNames, 3);
    fleet.run(15s);
    fleet.setLoss(0.1);
    fleet.run(120s);
    fleet.setLoss(0);
    fleet.run(30s);
    checkAllSeeEachOther(fleet);
}

// Guards against members that stay dead after a partition has healed. A region is isolated for
// minutes and both sides declare each other dead; dead members are still probed, and refute that
// afterwards.
TEST_CASE("membership_afterARegionWasIsolated_heals")
{
    FakeFleet fleet(instanceNames, 4);
    fleet.run(15s);
    fleet.setIsolated("c", true);
    fleet.run(180s);
    CHECK(fleet.stateSeenBy("a1", "c1") == MemberState::dead);
    CHECK(fleet.stateSeenBy("c1", "c2") == MemberState::alive);
    CHECK(fleet.stateSeenBy("c1", "a1") == MemberState::dead);
    fleet.setIsolated("c", false);
    fleet.run(120s);
    checkAllSeeEachOther(fleet);
}

// The same with the only seed instance stopped: dead members must be probed, not only the seeds.
TEST_CASE("membership_afterAPartitionWithoutItsSeed_heals")
{
    FakeFleet fleet(instanceNames, 8);
    fleet.run(15s);
    fleet.kill("a1");
    fleet.run(30s);
    fleet.setIsolated("c", true);
    fleet.run(180s);
    CHECK(fleet.stateSeenBy("c1", "a2") == MemberState::dead);
    fleet.setIsolated("c", false);
    fleet.run(180s);
    CHECK(fleet.stateSeenBy("c1", "a2") == MemberState::alive);
    CHECK(fleet.stateSeenBy("a2", "c1") == MemberState::alive);
    CHECK(fleet.stateSeenBy("b1", "c3") == MemberState::alive);
}

// Guards against an instance that declares all others dead after it was stalled for a minute, when
// all its timers have expired. It detects the stall by the gap between its own ticks.
TEST_CASE("membership_resumedAfterAStall_doesNotDeclareOthersDead")
{
    FakeFleet fleet(instanceNames, 5);
    fleet.run(15s);
    fleet.setStalled("a2", true);
    fleet.run(60s);
    CHECK(fleet.stateSeenBy("b1", "a2") == MemberState::dead);
    fleet.setStalled("a2", false);
    fleet.run(1s);
    CHECK(fleet.node("a2").consumeStall());
    for (const std::string &name : instanceNames) {
        if (name != "a2")
            CHECK(fleet.stateSeenBy("a2", name) == MemberState::alive);
    }
    fleet.run(60s);
    checkAllSeeEachOther(fleet);
}

TEST_CASE("membership_restartedInstance_isAliveAgain")
{
    FakeFleet fleet(instanceNames, 6);
    fleet.run(15s);
    fleet.kill("c3");
    fleet.run(20s);
    fleet.start("c3", 1000);
    fleet.run(30s);
    checkAllSeeEachOther(fleet);
}

TEST_CASE("membership_leavingInstance_isKnownAtOnceAndStaysLeaving")
{
    FakeFleet fleet(instanceNames, 7);
    fleet.run(15s);
    fleet.node("a3").leave();
    fleet.run(10s);
    for (const std::string &observer : instanceNames) {
        if (observer != "a3")
            CHECK(fleet.stateSeenBy(observer, "a3") == MemberState::leaving);
    }
    Membership &b1 = fleet.node("b1");
    CHECK_FALSE(b1.applyUpdate(makeMember("a3", 1), fleet.now()));
}

// Guards against cold servers that are flooded by instances that were restarted together: each knew
// a few members of a large region only and took too large a share of what the servers can handle.
TEST_CASE("membership_newcomersInALargeFleet_knowTheirRegionOnceComplete")
{
    rc::prop("all of the region are possible senders", [] {
        constexpr int membersPerRegion = 21;
        std::vector<std::string> names;
        std::vector<std::string> region;
        for (const std::string prefix : {"a", "b", "c"}) {
            for (int i = 0; i < membersPerRegion; ++i)
                names.push_back(prefix + std::to_string(i));
        }
        std::copy(names.begin(), names.begin() + membersPerRegion, std::back_inserter(region));
        FakeFleet fleet(names, *rc::gen::inRange<std::uint64_t>(1, 1U << 30));
        fleet.enableExchanges();
        fleet.run(6s);
        const int restarted = *rc::gen::inRange(1, membersPerRegion + 1);
        for (int i = 0; i < restarted; ++i)
            fleet.start(region[membersPerRegion - 1 - i], 2);
        fleet.setLoss(*rc::gen::inRange(0, 20) / 100.0);
        for (Duration passed{}; passed < 8s; passed += 100ms) {
            fleet.run(100ms);
            for (const std::string &name : region) {
                const Membership &node = fleet.node(name);
                if (passed > 2s && node.isComplete(fleet.now()))
                    RC_ASSERT(node.possibleSenders(fleet.now()).size() == membersPerRegion);
            }
        }
        for (const std::string &name : region)
            RC_ASSERT(fleet.node(name).isComplete(fleet.now()));
    });
}

// Guards against a cold server that is flooded during planned stops: an instance whose probes are
// lost while it stops still ends, and retries, what it has.
TEST_CASE("possibleSenders_leavingInstanceWithoutResponse_includeItForAWhile")
{
    FakeFleet fleet(instanceNames, 5);
    fleet.run(20s);
    fleet.node("a2").leave();
    fleet.run(2s);
    fleet.setStalled("a2", true);
    Duration passed{};
    for (; passed < 20s && fleet.stateSeenBy("a1", "a2") != MemberState::left; passed += 100ms)
        fleet.run(100ms);
    REQUIRE(fleet.stateSeenBy("a1", "a2") == MemberState::left);
    const auto isSender = [&] {
        const auto senders = fleet.node("a1").possibleSenders(fleet.now());
        return std::count(senders.begin(), senders.end(), "a2") > 0;
    };
    CHECK(isSender());
    fleet.run(8s);
    CHECK(isSender());
    fleet.run(10s);
    CHECK_FALSE(isSender());
}

TEST_CASE("overrides_ofAnyTwoStates_isAStrictOrder")
{
    rc::prop("at most one overrides the other", [] {
        Member a = makeMember("a1", *rc::gen::inRange<std::uint64_t>(1, 4));
        Member b = makeMember("a1", *rc::gen::inRange<std::uint64_t>(1, 4));
        a.state = static_cast<MemberState>(*rc::gen::inRange(0, 5));
        b.state = static_cast<MemberState>(*rc::gen::inRange(0, 5));
        RC_ASSERT(!(overrides(a, b) && overrides(b, a)));
        RC_ASSERT(overrides(a, b) || overrides(b, a)
                  || (a.incarnation == b.incarnation && a.state == b.state));
    });
}
