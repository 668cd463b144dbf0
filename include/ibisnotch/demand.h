// Measures how much work callers ask of each pool of model engines, by the regions that may do it.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "ibisnotch/clock.h"

namespace ibisnotch {

// Requests that any of the same regions may run.
struct DemandClass
{
    std::uint32_t pool = 0; // poolId() of its name
    std::uint64_t regions = 0; // regionMask() of the allowed regions
    bool placed = false; // requests with the same prefix run in the same region, for its cache

    template <typename Archive> void serialize(Archive &archive) { archive(pool, regions, placed); }
    bool operator==(const DemandClass &) const = default;
    bool operator<(const DemandClass &other) const
    {
        return std::tie(pool, regions, placed) < std::tie(other.pool, other.regions, other.placed);
    }
};

// What callers ask for, in averages over about the last second.
struct Demand
{
    DemandClass demandClass;
    float requests = 0; // per second
    // Servers that would be busy with these requests alone, at their usual speed.
    float servers = 0;
    float running = 0; // requests that would run at the same time at idle servers

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(demandClass, requests, servers, running);
    }
    bool operator==(const Demand &) const = default;
};

// Servers of one pool in a region that accept requests.
struct PoolCapacity
{
    std::uint32_t pool = 0;
    float servers = 0;
    float outstanding = 0; // requests running and waiting there

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(pool, servers, outstanding);
    }
    bool operator==(const PoolCapacity &) const = default;
};

// Message by which a region reports its demand and capacity.
struct RegionDemand
{
    std::string region;
    std::uint32_t ageMs = 0; // when the message is sent
    std::vector<Demand> demands; // of callers that connected to the region
    std::vector<PoolCapacity> capacities;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(region, ageMs, demands, capacities);
    }
    bool operator==(const RegionDemand &) const = default;
};

std::uint32_t poolId(std::string_view name);

// Returns a set of regions as bits, in the order of `all`, which must be sorted and hold at most 64
// names. Names that `all` lacks are left out.
std::uint64_t regionMask(const std::vector<std::string> &regions,
                         const std::vector<std::string> &all);

// Counts the requests of callers at this instance; at the instance that reports for its region,
// also those of the others. Holds the latest report of each region. Thread safe.
class DemandMeter
{
public:
    // What one request needs of an idle server of the pool.
    struct Work
    {
        double serverSeconds = 0; // time for which it alone would keep a server busy
        double runSeconds = 0; // from the time it is sent to the end of its answer
        bool operator==(const Work &) const = default;
    };

    void onRequest(const DemandClass &demandClass, const Work &work, TimePoint now);

    // Returns what callers ask of this instance.
    std::vector<Demand> localDemand(TimePoint now);
    // Called at the reporting instance with the demand at another instance of its region.
    void onInstanceDemand(const std::string &instance, std::vector<Demand> demands, TimePoint now);
    // Returns the sums over all instances of the region that reported lately, with this one. Must
    // be called several times a second while this instance is the reporter. Returns nothing in the
    // first second, in which reports of the others may be missing.
    std::optional<std::vector<Demand>> sumRegion(TimePoint now);

    void onRegionDemand(RegionDemand demand, TimePoint now);
    // Returns the reports that aren't outdated, with their ages.
    std::vector<RegionDemand> regions(TimePoint now) const;

private:
    struct Rate
    {
        double requests = 0;
        double servers = 0;
        double running = 0;
        TimePoint at{};
    };
    struct Report
    {
        std::vector<Demand> demands;
        TimePoint at{};
    };
    struct RegionReport
    {
        RegionDemand demand;
        TimePoint at{};
    };

    static void fade(Rate &rate, TimePoint now);

    mutable std::mutex m_mutex;
    std::map<DemandClass, Rate> m_rates;
    std::map<std::string, Report> m_instances;
    std::map<std::string, RegionReport> m_regions;
    TimePoint m_reporterSince{};
    TimePoint m_lastSumAt{};
};

} // namespace ibisnotch
