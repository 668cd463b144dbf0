// Plans the orders to model engines that set their model, version, adapter and role.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/config.h"

namespace ibisnotch {

// The lease in the store that gives one instance of a region the right to send orders.
struct PlacementLease
{
    // Fencing token, which rises each time another instance acquires the lease; 0 if it isn't held.
    std::uint64_t fence = 0;
    TimePoint until{};
    bool operator==(const PlacementLease &) const = default;
};

struct PlacementOrder
{
    std::string server;
    Placement placement;
    std::uint64_t fence = 0;
    bool operator==(const PlacementOrder &) const = default;
};

// The placement that an engine reports.
struct ObservedPlacement
{
    Placement placement;
    bool loading = false;
    bool operator==(const ObservedPlacement &) const = default;
};

struct PlacementInput
{
    const std::map<std::string, BackendServer> *servers = nullptr;
    const std::map<std::string, ObservedPlacement> *observed = nullptr;
    PlacementLease lease;
    TimePoint now{};
};

// Compares the placements that engines report with the configured ones and returns orders until
// they agree. It doesn't record accepted orders: an engine that ignores fencing tokens may execute
// a late order of a former lease holder at any time, and only its report shows that. Not thread
// safe.
class PlacementPlanner
{
public:
    struct Limits
    {
        double loadsPerMinute = 1; // this region's part of the weight store's rate
        Duration orderRetryInterval = std::chrono::seconds(30); // before an order is repeated
        // Time before the end of the lease from which no orders are sent. Covers their network
        // delay.
        Duration leaseMargin = std::chrono::seconds(2);
    };

    explicit PlacementPlanner(Limits limits) : m_limits(limits) { }

    void setLoadsPerMinute(double rate) { m_limits.loadsPerMinute = rate; }

    // Returns the orders to send now and records them as issued.
    std::vector<PlacementOrder> plan(const PlacementInput &input);

private:
    struct IssuedOrder
    {
        PlacementOrder order;
        TimePoint issuedAt;
    };

    // Adds the tokens for the time since the last call.
    void refill(TimePoint now);
    // Returns whether the same order was issued within the retry interval.
    bool isPending(const PlacementOrder &order, TimePoint now) const;
    // Returns whether the engine must keep its model until another engine serves it.
    static bool waitsForSuccessor(const PlacementInput &input, const std::string &server);
    // Returns whether no other engine serves the model that this engine serves.
    static bool isLastOfModel(const PlacementInput &input, const std::string &server);

    Limits m_limits;
    double m_tokens = 0; // each allows one load of weights; at most 1
    TimePoint m_refilledAt{};
    std::uint64_t m_fence = 0; // of the lease for which orders were last planned
    std::map<std::string, IssuedOrder> m_issued; // latest order by server
};

// Returns whether an engine that checks fencing tokens accepts an order: its token must be at least
// the highest that the engine has seen.
constexpr bool acceptsFence(std::uint64_t highestSeen, std::uint64_t fence)
{
    return fence >= highestSeen;
}

} // namespace ibisnotch
