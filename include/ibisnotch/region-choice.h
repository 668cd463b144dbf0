// Whether a request runs in this region or is sent to another.
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

// What a region tells the others of one service.
struct RegionLoad
{
    std::string region;
    std::string service; // or pool
    double slots = 0;
    double outstanding = 0;
    std::uint32_t ageMs = 0; // when sent, or when looked up
    double readDelaySeconds = 0; // seconds before a prompt sent now is read, on average
    double eventIntervalSeconds = 0; // between two events of a stream, on average; 0: not known

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(region, service, slots, outstanding, ageMs, readDelaySeconds, eventIntervalSeconds);
    }
    bool operator==(const RegionLoad &) const = default;
};

// The time that a request would wait for a slot.
double waitSeconds(double slots, double outstanding, double expectedSeconds);

RegionLoad summarizeLoad(const std::string &region, const std::string &loadKey,
                         std::span<const Candidate> candidates);

// Keeps the latest summary of each other region, corrected by what was sent there and came
// back since.
class RegionTable
{
public:
    void onLoad(const RegionLoad &load, TimePoint now);
    void onForwarded(const std::string &region, const std::string &service);
    void onForwardedFinished(const std::string &region, const std::string &service);
    std::optional<RegionLoad> find(const std::string &region, const std::string &service,
                                   TimePoint now) const;
    // All summaries that still count, with their ages.
    std::vector<RegionLoad> all(TimePoint now) const;

private:
    struct Entry
    {
        RegionLoad load;
        TimePoint measuredAt;
        double forwardedSince = 0; // sent since the summary, less those that came back
    };
    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, Entry> m_entries;
};

struct RegionChoiceInput
{
    std::string localRegion;
    std::vector<std::string> allowed; // by residency; may lack the home region
    std::vector<std::string> reachable; // regions with an entry instance that is alive
    const Service *service = nullptr;
    std::string loadKey; // under which the regions' loads are kept
    RegionLoad localLoad;
    Weights weights;
    Duration oneWayDelay{};
    Duration awayMargin{};
    // Where a server holds the parts that the prompt shares with others; empty: anywhere.
    std::string holderRegion;
    double sharedReadSeconds = 0; // in which another server reads those parts
    double localRunningPerServer = 0; // requests that run at a server of the region, on average
    bool localRejects = false; // admission would refuse the request at home
    bool canForward = true; // false once the request has changed regions
};

struct RegionDecision
{
    // Empty: no region can take it now.
    std::optional<std::string> region;
    double waitSeconds = 0;
    bool residencyForbids = false; // nowhere this instance may send it
    bool operator==(const RegionDecision &) const = default;
};

// Compares the wait at home with the way and the wait elsewhere. Away must win by a margin that the
// weights scale; once traffic flows away, half the margin keeps it there, so that the choice does
// not swing with each report. Thread safe.
class RegionChooser
{
public:
    RegionDecision choose(const RegionChoiceInput &input, const RegionTable &table, TimePoint now,
                          Random &random);

private:
    std::mutex m_mutex;
    std::map<std::string, bool> m_forwarding; // by service
};

} // namespace ibisnotch
