// How much of what a cold backend server bears falls to one instance.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

struct WarmupBound
{
    double factor = 1; // of the pool's warm-up rate
    double slack = 0; // requests a second beside that
    bool operator==(const WarmupBound &) const = default;
};

// The time that this instance must leave between two of its requests to the server; empty if others
// may use up all that the server bears. Returning servers crash when every instance takes them for
// the least loaded and sends at once, so what one bears in a second is dealt out: to a few senders,
// the same ones from everyone's view, whole requests each.
std::optional<Duration> warmupInterval(double rate, const WarmupBound &bound,
                                       const std::vector<std::string> &senders,
                                       const std::string &self, const std::string &server);

// Whether one request may be sent now to a server that this instance has taken for cold since
// `coldSince`. What was sent shortly before that may have met a server that was cold already, so it
// counts against the bound too.
bool canSendWarmupRequest(const ServerCounters &counters, Duration pause, TimePoint coldSince,
                          TimePoint now);

// Takes the right to do so. False if another thread took it in between.
bool tryAcquireWarmupRequest(ServerCounters &counters, Duration pause, TimePoint coldSince,
                             TimePoint now);

// Since when a server may have turned cold unnoticed, as nobody has confirmed the list for so long
// or the server's entry is missing from it; the server itself is then asked. Empty: the list tells.
std::optional<TimePoint> possiblyColdSince(const ListState &list, const ServerView &view,
                                           TimePoint now);

// How many requests this instance may send to a server that may have turned cold, from one look at
// it to the next: none if others may use up all that a cold one bears, empty if it is never cold.
// Dealt out to a few senders, so that what reaches a cold server stays within that however late the
// next look is answered.
std::optional<std::size_t> possiblyColdShare(const RoutingTable &table, const WarmupBound &bound,
                                             const std::string &self, const BackendServer &server);

// Whether a look since then has found the server warm and the share is not used up.
bool canSendPossiblyCold(const ServerCounters &counters, std::size_t share,
                         TimePoint possiblyColdSince);

// Takes the right to do so. False if another thread took it in between.
bool tryAcquirePossiblyCold(ServerCounters &counters, std::size_t share,
                            TimePoint possiblyColdSince);

// Whether the server has to be looked at before it may get more.
bool needsStatusCheck(const ServerCounters &counters, TimePoint possiblyColdSince);

// A look was answered by a warm server; `sentBefore` is possiblyColdSent when it was sent.
void recordWarm(ServerCounters &counters, std::uint32_t sentBefore, TimePoint now);

// A server that may have turned cold, as one instance sees it.
struct PossiblyColdServer
{
    TimePoint lastSentAt{}; // this instance's last request to it
    bool hasShare = false; // a share of what it bears falls to this instance
    bool ready = false; // it may get a request now
    bool operator==(const PossiblyColdServer &) const = default;
};

// Which of them may get a request now, by index. If none, one may soon, after a look, unless there
// are no servers.
struct PossiblyColdChoice
{
    std::vector<std::size_t> ready;
    bool wait = false;
    bool operator==(const PossiblyColdChoice &) const = default;
};

// An instance to which none of the servers falls may use the one that has rested longest: a refusal
// would be certain harm.
PossiblyColdChoice choosePossiblyCold(std::span<const PossiblyColdServer> servers);

} // namespace ibisnotch
