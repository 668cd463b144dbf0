// Orders to model engines: which model, version, adapter and role each should hold.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/config.h"

namespace ibisnotch {

// The right to give orders in a region: a lease in the store, and a number that rises each time the
// lease changes hands.
struct PlacementLease
{
    std::uint64_t fence = 0; // 0: not held
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

// What an engine says it holds.
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

// Compares what engines report with what is wanted and gives orders until both agree. It keeps no
// record of orders that were accepted: an engine that ignores fencing numbers may obey a former
// holder's late order at any time, and only its own report shows that. Not thread safe.
class PlacementPlanner
{
public:
    struct Limits
    {
        double loadsPerMinute = 1; // this region's part of the weight store's rate
        Duration orderRetryInterval = std::chrono::seconds(30); // before an order is given again
        // A lease is used no longer than this before its end; it covers the way of an order.
        Duration leaseMargin = std::chrono::seconds(2);
    };

    explicit PlacementPlanner(Limits limits) : m_limits(limits) { }

    void setLoadsPerMinute(double rate) { m_limits.loadsPerMinute = rate; }

    std::vector<PlacementOrder> plan(const PlacementInput &input);

private:
    struct IssuedOrder
    {
        PlacementOrder order;
        TimePoint issuedAt;
    };

    void refill(TimePoint now);
    bool isPending(const PlacementOrder &order, TimePoint now) const;
    static bool waitsForSuccessor(const PlacementInput &input, const std::string &server);
    static bool isLastOfModel(const PlacementInput &input, const std::string &server);

    Limits m_limits;
    double m_tokens = 0;
    TimePoint m_refilledAt{};
    std::uint64_t m_fence = 0;
    std::map<std::string, IssuedOrder> m_issued;
};

// The part of an engine that checks orders: the highest number seen wins.
constexpr bool acceptsFence(std::uint64_t highestSeen, std::uint64_t fence)
{
    return fence >= highestSeen;
}

} // namespace ibisnotch
