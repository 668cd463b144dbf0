#include "ibisnotch/placement.h"

#include <algorithm>
#include <deque>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

// Engines of one region and two holders that follow each other, each with its own delay.
class PlacementFleet
{
public:
    explicit PlacementFleet(int engines)
    {
        for (int i = 0; i < engines; ++i) {
            BackendServer server;
            server.name = "e" + std::to_string(i);
            server.models = {"m"};
            server.checksFencing = *rc::gen::arbitrary<bool>();
            server.placement = Placement{"m", "2", "", "serve"};
            m_servers[server.name] = server;
            m_observed[server.name] = {{"m", "1", "", "serve"}, false};
        }
    }

    void plan(std::size_t holder)
    {
        PlacementInput input{&m_servers, &m_observed, m_leases[holder], m_now};
        for (const PlacementOrder &order : m_holders[holder].plan(input))
            m_wire.push_back(order);
    }

    void deliver(std::size_t index)
    {
        if (m_wire.empty())
            return;
        const auto at = m_wire.begin() + static_cast<long>(index % m_wire.size());
        const PlacementOrder order = *at;
        m_wire.erase(at);
        ++m_delivered;
        std::uint64_t &seen = m_seen[order.server];
        if (m_servers[order.server].checksFencing && !acceptsFence(seen, order.fence))
            return;
        if (m_servers[order.server].checksFencing)
            m_neverOlder = m_neverOlder && order.fence >= seen;
        seen = std::max(seen, order.fence);
        if (m_observed[order.server].placement != order.placement)
            m_loads.push_back(m_now);
        m_observed[order.server].placement = order.placement;
    }

    void takeOver(std::size_t holder) { m_leases[holder] = {++m_fence, m_now + 30s}; }

    void renew(std::size_t holder) { m_leases[holder].until = m_now + 30s; }

    void want(const std::string &version)
    {
        for (auto &[name, server] : m_servers)
            server.placement->version = version;
    }

    void advance(Duration by) { m_now += by; }
    bool settled() const
    {
        return std::all_of(m_servers.begin(), m_servers.end(), [this](const auto &entry) {
            return m_observed.at(entry.first).placement == *entry.second.placement;
        });
    }
    bool neverOlder() const { return m_neverOlder; }
    const std::vector<TimePoint> &loads() const { return m_loads; }

private:
    TimePoint m_now{1h};
    std::map<std::string, BackendServer> m_servers;
    std::map<std::string, ObservedPlacement> m_observed;
    std::map<std::string, std::uint64_t> m_seen;
    PlacementPlanner m_holders[2]{PlacementPlanner({}), PlacementPlanner({})};
    PlacementLease m_leases[2];
    std::deque<PlacementOrder> m_wire;
    std::vector<TimePoint> m_loads;
    std::uint64_t m_fence = 0;
    int m_delivered = 0;
    bool m_neverOlder = true;
};

} // namespace

// What callers see: engines that hold what operators want, in the end. In what order: holders
// change, sleep and wake, orders arrive late and out of order, some engines ignore their numbers.
// Why: orders are given from what engines report until it agrees.
TEST_CASE("placement_holdersChangeAndOrdersAreLate_settlesOnWhatIsWanted")
{
    rc::prop("settles, never older where checked", [] {
        PlacementFleet fleet(3);
        const int steps = *rc::gen::inRange(0, 40);
        for (int i = 0; i < steps; ++i) {
            const auto holder = *rc::gen::inRange<std::size_t>(0, 2);
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                fleet.takeOver(holder);
                break;
            case 1:
                fleet.deliver(*rc::gen::inRange<std::size_t>(0, 10));
                break;
            case 2:
                fleet.advance(std::chrono::seconds(*rc::gen::inRange(0, 90)));
                break;
            case 3:
                fleet.want(*rc::gen::element<std::string>("2", "3"));
                break;
            default:
                fleet.plan(holder);
            }
        }
        // Late orders of former holders land; then one holder goes on undisturbed.
        for (int i = 0; i < 60; ++i)
            fleet.deliver(0);
        fleet.takeOver(0);
        for (int i = 0; i < 60; ++i) {
            fleet.renew(0);
            fleet.plan(0);
            fleet.deliver(0);
            fleet.advance(20s);
        }
        RC_ASSERT(fleet.settled());
        RC_ASSERT(fleet.neverOlder());
    });
}

TEST_CASE("placement_oneHolder_loadsAtTheRateOfTheWeightStore")
{
    std::map<std::string, BackendServer> servers;
    std::map<std::string, ObservedPlacement> observed;
    for (int i = 0; i < 6; ++i) {
        const std::string name = "e" + std::to_string(i);
        servers[name].placement = Placement{"m", "2", "", "serve"};
        observed[name] = {{"m", "1", "", "serve"}, false};
    }
    PlacementPlanner planner({.loadsPerMinute = 2, .orderRetryInterval = 30s, .leaseMargin = 2s});
    TimePoint now{1h};
    int loads = 0;
    for (int second = 0; second < 60; ++second) {
        const PlacementInput input{&servers, &observed, {1, now + 30s}, now};
        for (const PlacementOrder &order : planner.plan(input)) {
            ++loads;
            observed[order.server].placement = order.placement;
        }
        now += 1s;
    }
    CHECK(loads >= 1);
    CHECK(loads <= 2);
    for (int minute = 0; minute < 5; ++minute) {
        for (int second = 0; second < 60; ++second) {
            const PlacementInput input{&servers, &observed, {1, now + 30s}, now};
            for (const PlacementOrder &order : planner.plan(input))
                observed[order.server].placement = order.placement;
            now += 1s;
        }
    }
    for (const auto &[name, server] : servers)
        CHECK(observed[name].placement == *server.placement);
}

// What callers see: nothing. In what order: a holder sleeps past its lease and wakes between two
// orders. Why: it looks at its clock before each.
TEST_CASE("placement_leaseOver_givesNoOrder")
{
    std::map<std::string, BackendServer> servers;
    servers["e"].placement = Placement{"m", "2", "", "prefill"};
    std::map<std::string, ObservedPlacement> observed{{"e", {{"m", "2", "", "serve"}, false}}};
    PlacementPlanner planner({});
    const TimePoint now{1h};
    CHECK(planner.plan({&servers, &observed, {1, now + 1s}, now}).empty());
    CHECK(planner.plan({&servers, &observed, {0, now + 30s}, now}).empty());
    CHECK(planner.plan({&servers, &observed, {1, now + 30s}, now}).size() == 1);
}

// What callers see: no model without an engine. In what order: e1 is the last engine of m and is to
// change to n, e2 is to follow it. Why: e1 waits until e2 serves m.
TEST_CASE("placement_lastEngineOfAModel_waitsForItsSuccessor")
{
    std::map<std::string, BackendServer> servers;
    servers["e1"].placement = Placement{"n", "1", "", "serve"};
    servers["e2"].placement = Placement{"m", "1", "", "serve"};
    servers["e3"].placement = Placement{"n", "1", "", "serve"};
    std::map<std::string, ObservedPlacement> observed{{"e1", {{"m", "1", "", "serve"}, false}},
                                                      {"e2", {{"n", "1", "", "serve"}, false}},
                                                      {"e3", {{"n", "1", "", "serve"}, false}}};
    PlacementPlanner planner({.loadsPerMinute = 600, .orderRetryInterval = 30s, .leaseMargin = 2s});
    TimePoint now{1h};
    planner.plan({&servers, &observed, {1, now + 1h}, now});
    now += 1min;
    auto orders = planner.plan({&servers, &observed, {1, now + 1h}, now});
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].server == "e2");
    observed["e2"].placement.model = "m";
    now += 1min;
    orders = planner.plan({&servers, &observed, {1, now + 1h}, now});
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].server == "e1");
}

TEST_CASE("placement_twoLastEnginesToSwap_doNotWaitForEachOther")
{
    std::map<std::string, BackendServer> servers;
    servers["e1"].placement = Placement{"n", "1", "", "serve"};
    servers["e2"].placement = Placement{"m", "1", "", "serve"};
    std::map<std::string, ObservedPlacement> observed{{"e1", {{"m", "1", "", "serve"}, false}},
                                                      {"e2", {{"n", "1", "", "serve"}, false}}};
    PlacementPlanner planner({.loadsPerMinute = 600, .orderRetryInterval = 30s, .leaseMargin = 2s});
    TimePoint now{1h};
    planner.plan({&servers, &observed, {1, now + 1h}, now});
    now += 1min;
    CHECK(planner.plan({&servers, &observed, {1, now + 1h}, now}).size() == 1);
}
