#include "ibisnotch/placement.h"

#include <algorithm>
#include <deque>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

// Simulates the engines of a region and two instances that hold the lease in turn. Orders arrive in
// any order and with any delay.
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
            m_sentOrders.push_back(order);
    }

    void deliver(std::size_t index)
    {
        if (m_sentOrders.empty())
            return;
        const auto position = m_sentOrders.begin() + static_cast<long>(index % m_sentOrders.size());
        const PlacementOrder order = *position;
        m_sentOrders.erase(position);
        ++m_delivered;
        std::uint64_t &highest = m_highestFences[order.server];
        if (m_servers[order.server].checksFencing && !acceptsFence(highest, order.fence))
            return;
        if (m_servers[order.server].checksFencing)
            m_olderNeverAccepted = m_olderNeverAccepted && order.fence >= highest;
        highest = std::max(highest, order.fence);
        if (m_observed[order.server].placement != order.placement)
            m_loads.push_back(m_now);
        m_observed[order.server].placement = order.placement;
    }

    void acquireLease(std::size_t holder) { m_leases[holder] = {++m_fence, m_now + 30s}; }

    void renewLease(std::size_t holder) { m_leases[holder].until = m_now + 30s; }

    void setWantedVersion(const std::string &version)
    {
        for (auto &[name, server] : m_servers)
            server.placement->version = version;
    }

    void advance(Duration by) { m_now += by; }
    bool isSettled() const
    {
        return std::all_of(m_servers.begin(), m_servers.end(), [this](const auto &entry) {
            return m_observed.at(entry.first).placement == *entry.second.placement;
        });
    }
    bool olderNeverAccepted() const { return m_olderNeverAccepted; }
    const std::vector<TimePoint> &loads() const { return m_loads; }

private:
    TimePoint m_now{1h};
    std::map<std::string, BackendServer> m_servers;
    std::map<std::string, ObservedPlacement> m_observed;
    std::map<std::string, std::uint64_t> m_highestFences;
    PlacementPlanner m_holders[2]{PlacementPlanner({}), PlacementPlanner({})};
    PlacementLease m_leases[2];
    std::deque<PlacementOrder> m_sentOrders;
    std::vector<TimePoint> m_loads;
    std::uint64_t m_fence = 0;
    int m_delivered = 0;
    bool m_olderNeverAccepted = true;
};

} // namespace

// Guards against engines that keep a wrong placement after the lease holder changed or was stopped,
// orders arrived late and out of order, or engines ignored fencing tokens.
TEST_CASE("placement_changingHoldersAndLateOrders_settlesOnTheConfiguration")
{
    rc::prop("settles; no older token is accepted where it is checked", [] {
        PlacementFleet fleet(3);
        const int steps = *rc::gen::inRange(0, 40);
        for (int i = 0; i < steps; ++i) {
            const auto holder = *rc::gen::inRange<std::size_t>(0, 2);
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                fleet.acquireLease(holder);
                break;
            case 1:
                fleet.deliver(*rc::gen::inRange<std::size_t>(0, 10));
                break;
            case 2:
                fleet.advance(std::chrono::seconds(*rc::gen::inRange(0, 90)));
                break;
            case 3:
                fleet.setWantedVersion(*rc::gen::element<std::string>("2", "3"));
                break;
            default:
                fleet.plan(holder);
            }
        }
        // Late orders of former holders arrive, then one holder continues alone.
        for (int i = 0; i < 60; ++i)
            fleet.deliver(0);
        fleet.acquireLease(0);
        for (int i = 0; i < 60; ++i) {
            fleet.renewLease(0);
            fleet.plan(0);
            fleet.deliver(0);
            fleet.advance(20s);
        }
        RC_ASSERT(fleet.isSettled());
        RC_ASSERT(fleet.olderNeverAccepted());
    });
}

TEST_CASE("placement_oneHolder_staysWithinTheRateOfTheWeightStore")
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

// Guards against orders of an instance that was stopped until its lease had expired.
TEST_CASE("placement_leaseExpired_issuesNoOrder")
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

// Guards against a model without an engine: e1, the last engine of m, is to change to n, and must
// wait until e2 serves m.
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
