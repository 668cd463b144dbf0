// Chooses the region in which a request runs.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/config.h"
#include "ibisnotch/pick.h"
#include "ibisnotch/random.h"

namespace ibisnotch {

// Message by which a region reports the load of one service or pool to the other regions.
struct RegionLoad
{
    std::string region;
    std::string service; // or pool
    double slots = 0;
    double outstanding = 0; // requests running and waiting
    std::uint32_t ageMs = 0; // age of the values when this was sent or returned by RegionTable
    double readDelaySeconds = 0; // mean time until an engine begins to read a prompt sent now
    double eventIntervalSeconds = 0; // mean time between two events of a stream; 0 if unknown

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(region, service, slots, outstanding, ageMs, readDelaySeconds, eventIntervalSeconds);
    }
    bool operator==(const RegionLoad &) const = default;
};

// Returns the time that a new request would wait for a slot; infinity without slots.
double waitSeconds(double slots, double outstanding, double expectedSeconds);

// Returns the sums and means over the candidates. `loadKey` is the name of a service or pool.
RegionLoad summarizeLoad(const std::string &region, const std::string &loadKey,
                         std::span<const Candidate> candidates);

// Holds the latest load of each other region, corrected by the requests that this instance has
// forwarded there since. Thread safe.
class RegionTable
{
public:
    void onLoad(const RegionLoad &load, TimePoint now);
    void onForwarded(const std::string &region, const std::string &service);
    void onForwardedFinished(const std::string &region, const std::string &service);
    std::optional<RegionLoad> find(const std::string &region, const std::string &service,
                                   TimePoint now) const;
    // Returns all loads that aren't outdated, without the correction and with their ages.
    std::vector<RegionLoad> all(TimePoint now) const;

private:
    struct Entry
    {
        RegionLoad load;
        TimePoint measuredAt;
        double forwardedSince = 0; // requests forwarded since, less those that finished since
    };
    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, Entry> m_entries;
};

struct RegionChoiceInput
{
    std::string localRegion;
    std::vector<std::string> allowed; // by residency; may exclude the local region
    std::vector<std::string> reachable; // regions with a live instance
    const Service *service = nullptr;
    std::string loadKey; // RegionLoad::service of the loads to compare
    RegionLoad localLoad;
    Weights weights;
    Duration oneWayDelay{}; // between two regions
    Duration awayMargin{}; // by which the wait in another region must be shorter; scaled by weights
    // Region of the server that caches the prefix of the prompt; empty if there is none.
    std::string holderRegion;
    double sharedReadSeconds = 0; // time in which any other server reads the prefix
    double localRunningPerServer = 0; // mean number of requests at a server of the local region
    bool localRejects = false; // admission control would reject the request in the local region
    bool canForward = true; // false if the request was forwarded from another region
};

struct RegionDecision
{
    std::optional<std::string> region; // empty if no region can run the request now
    double waitSeconds = 0;
    bool residencyForbids = false; // residency excludes every region that can be used
    bool operator==(const RegionDecision &) const = default;
};

// Compares the wait in the local region with the network delay and wait in the others. Another
// region must be better by a margin that the weights scale. While requests are forwarded, half of
// the margin is enough, so that the choice doesn't change with each load report. Thread safe.
class RegionChooser
{
public:
    RegionDecision choose(const RegionChoiceInput &input, const RegionTable &table, TimePoint now,
                          Random &random);

private:
    std::mutex m_mutex;
    std::map<std::string, bool> m_forwarding; // by RegionChoiceInput::loadKey
};

} // namespace ibisnotch
