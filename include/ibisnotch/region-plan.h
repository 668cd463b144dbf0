// Divides the requests of all regions among the regions that may run them.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/demand.h"

namespace ibisnotch {

// Part of the requests that a region runs.
struct RegionShare
{
    std::string region;
    double share = 0;
    bool operator==(const RegionShare &) const = default;
};

// How one region's requests of one class are divided; the shares add up to 1 and are in the order
// of the regions' names.
struct PlanRow
{
    DemandClass demandClass;
    std::string from;
    std::vector<RegionShare> shares;
    bool operator==(const PlanRow &) const = default;
};

// How busy the servers of a pool are in a region if all instances follow the plan; 1 if all servers
// are busy all the time.
struct PlannedLoad
{
    std::uint32_t pool = 0;
    std::string region;
    double utilization = 0;
    // Busy servers beyond those that the demand explains, for example because they read parts of
    // prompts again or are slow.
    double unexplained = 0;
    bool operator==(const PlannedLoad &) const = default;
};

struct RegionPlan
{
    std::vector<PlanRow> rows;
    std::vector<PlannedLoad> loads;

    // Returns null if the class has no row.
    const PlanRow *find(const DemandClass &demandClass, std::string_view from) const;
    bool operator==(const RegionPlan &) const = default;
};

struct RegionPlanInput
{
    std::span<const RegionDemand> regions; // one of each region that is known, in any order
    std::vector<std::string> allRegions; // sorted, as for regionMask()
    double moveSeconds = 0; // delay of a request that runs in another region than its caller's
};

// Returns the plan with the least mean time to the end of a request, found in small steps from
// `previous`. A region runs requests more slowly the busier its servers are, so work moves from
// busy to idle regions as long as what all requests gain exceeds the delay of those that move. A
// region that has more requests outstanding than its demand explains counts as busier.
// Regions that aren't in the input get no requests.
RegionPlan planRegions(const RegionPlanInput &input, const RegionPlan &previous);

// Returns the region for a request; `draw` is in [0, 1). Requests with the same draw go to the same
// region while the plan doesn't change. Empty if no region has a share.
std::string regionForDraw(const PlanRow &row, double draw);

// Returns the region's share of the row; 0 if it has none.
double shareOf(const PlanRow &row, std::string_view region);

// Returns a draw that depends on the hash of a prefix only.
double drawForPrefix(std::uint64_t prefixHash);

// Holds the plan in force. Thread safe.
class RegionPlanner
{
public:
    // Replaces the plan. Must be called several times a second.
    void update(const RegionPlanInput &input);
    // Returns the region for a request; empty if the plan has no row for its class.
    std::optional<std::string> choose(const DemandClass &demandClass, std::string_view from,
                                      double draw) const;
    RegionPlan plan() const;

private:
    mutable std::mutex m_mutex;
    RegionPlan m_plan;
};

} // namespace ibisnotch
