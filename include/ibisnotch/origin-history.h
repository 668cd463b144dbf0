// Which pools and software versions can have begun a stream, as far as the list of servers shows.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "ibisnotch/config.h"
#include "ibisnotch/stream-origin.h"

namespace ibisnotch {

// What one instance knows of the origins that the streams of a service can have.
struct PossibleOrigins
{
    std::vector<StreamOrigin> origins; // in ascending order
    // Whether no other origin is possible: the list of servers is current and was followed without
    // a gap for as long as a stream can last.
    bool isComplete = false;

    template <typename Archive> void serialize(Archive &archive) { archive(origins, isComplete); }
    bool operator==(const PossibleOrigins &) const = default;
};

// Returns whether this instance alone knows the only possible origin.
bool isSole(const PossibleOrigins &possible);

// Returns the only origin that a stream can have according to all of these instances, at least one
// of which must have complete knowledge; empty if there are several, or it isn't certain.
std::optional<StreamOrigin> soleOrigin(std::span<const PossibleOrigins> known);

// Remembers the versions of all servers that were listed, and the pools that services used, for as
// long as a stream that they began may be resumed. Thread safe.
class OriginHistory
{
public:
    // Time for which a stream may be resumed after the deadline of its service or its caller.
    static constexpr Duration resumeReserve = std::chrono::seconds(5);
    // Callers that wait for longer count as waiting for this long.
    static constexpr Duration maxCallerLimit = std::chrono::minutes(10);

    // Sets the origins of the listed servers in all regions.
    void setListed(const std::set<StreamOrigin> &listed, TimePoint now);
    void setServices(const std::map<std::string, Service> &services, TimePoint now);
    // Called when a caller that waits until `limit` from now uses a stream of the service. A stream
    // may be resumed for as long as its caller waits, also beyond the service's deadline.
    void onCaller(const std::string &service, Duration limit, TimePoint now);
    // Called several times a second with the time at which the complete list was last known to be
    // current. It counts as current for `maxAge` after that.
    void onConfirmed(TimePoint confirmedAt, Duration maxAge, TimePoint now);
    // Called when a server of an unknown version may have come and gone.
    void onGap(TimePoint now);

    PossibleOrigins possibleOrigins(const std::string &service, TimePoint now) const;
    // Returns whether callers of the service wait for longer than its deadline.
    bool outlastsDeadline(const std::string &service, TimePoint now) const;

private:
    // When an entry was last in the list or configuration; max() while it is.
    using LastSeen = TimePoint;
    struct ServiceHistory
    {
        Duration deadline{}; // the longest one configured
        Duration callerLimit{}; // the longest one met lately
        TimePoint callerLimitAt{};
        bool isStreaming = false;
        std::map<std::string, LastSeen> pools;
    };
    // Returns what holds for streams that other services have begun. m_mutex must be held.
    ServiceHistory historyOfNewService(TimePoint now) const;
    static bool outlastsDeadline(const ServiceHistory &history, TimePoint now);
    static Duration streamLifetime(const ServiceHistory &history, TimePoint now);

    mutable std::mutex m_mutex;
    std::map<StreamOrigin, LastSeen> m_origins;
    std::map<std::string, ServiceHistory> m_services;
    TimePoint m_confirmedAt{};
    TimePoint m_currentSince{}; // since when the list has been current without a gap
    Duration m_maxAge{};
};

} // namespace ibisnotch
