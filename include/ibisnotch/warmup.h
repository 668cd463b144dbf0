// How many requests one instance may send to a backend server that is cold, or possibly cold
// because its list entry isn't current.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// Limit for the requests that all instances together send to a cold server.
struct WarmupBound
{
    double factor = 1; // times the pool's warm-up rate
    double slack = 0; // additional requests per second
    bool operator==(const WarmupBound &) const = default;
};

// Returns the minimum time between two requests of this instance to a cold server; empty if the
// server's rate is assigned to other instances. A restarted server crashes if every instance
// considers it the least loaded and sends at once. Therefore the requests that it can handle per
// second are assigned to a few senders, a whole number each; all instances compute the same
// assignment.
std::optional<Duration> warmupInterval(double rate, const WarmupBound &bound,
                                       const std::vector<std::string> &senders,
                                       const std::string &self, const std::string &server);

// Returns whether one request may be sent now to a server that is cold or has a limit, `interval`
// after the last one at the earliest. A server may have been cold shortly before this instance
// learned of it, so requests sent then count towards the bound too, whichever instance sent them.
bool canSendRateLimited(const ServerView &view, Duration interval, TimePoint now);

// Acquires the right to send one such request. Returns false if none may be sent now, for example
// because another thread has just acquired the right.
bool tryAcquireRateLimited(const ServerView &view, Duration interval, TimePoint now);

// Returns since when the server may have become cold without the list showing it, because the list
// hasn't been confirmed within its maxAge or the server's entry is missing. Health checks of the
// server replace the list then. Empty if the list is current.
std::optional<TimePoint> possiblyColdSince(const ListState &list, const ServerView &view,
                                           TimePoint now);

// Returns how many requests this instance may send to a possibly cold server between two health
// checks: 0 if the server's rate is assigned to other instances, empty if its pool has no warm-up
// rate. The number is limited so that a server that did become cold gets no more than it can
// handle, however late the next check is answered.
std::optional<std::size_t> possiblyColdShare(const RoutingTable &table, const WarmupBound &bound,
                                             const std::string &self, const BackendServer &server);

// Returns whether a health check since `possiblyColdSince` has found the server warm and the share
// isn't used up.
bool canSendPossiblyCold(const ServerCounters &counters, std::size_t share,
                         TimePoint possiblyColdSince);

// Acquires the right to send one request to it. Returns false if the share is used up.
bool tryAcquirePossiblyCold(ServerCounters &counters, std::size_t share,
                            TimePoint possiblyColdSince);

// Returns whether the server needs a health check before the full share is available to it again.
bool needsHealthCheck(const ServerCounters &counters, TimePoint possiblyColdSince);

// Records a health check that found the server warm; `sentBefore` is the value of possiblyColdSent
// when the check was sent.
void recordWarm(ServerCounters &counters, std::uint32_t sentBefore, TimePoint now);

// A possibly cold server, as seen by one instance.
struct PossiblyColdServer
{
    TimePoint lastSentAt{}; // when this instance last sent a request to it
    bool hasShare = false; // part of its rate is assigned to this instance
    bool ready = false; // a request may be sent to it now
    bool operator==(const PossiblyColdServer &) const = default;
};

struct PossiblyColdChoice
{
    std::vector<std::size_t> ready; // indexes of the servers that may get a request now
    bool wait = false; // none is ready, but one may be after its next health check
    bool operator==(const PossiblyColdChoice &) const = default;
};

// Returns the servers that are ready, or else whether to wait for a health check. If this instance
// has a share of none, it returns the server to which it hasn't sent for the longest time, since
// rejecting the request would certainly harm the caller.
PossiblyColdChoice choosePossiblyCold(std::span<const PossiblyColdServer> servers);

} // namespace ibisnotch
