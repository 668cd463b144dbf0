// How much of what a cold backend server bears falls to one instance.
#pragma once

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
std::optional<Duration> warmupPause(double rate, const WarmupBound &bound,
                                    const std::vector<std::string> &senders,
                                    const std::string &self, const std::string &server);

// Whether one request may be sent now to a server that this instance has taken for cold since
// `coldSince`. What was sent shortly before that may have met a server that was cold already, so it
// counts against the bound too.
bool mayWarm(const ServerCounters &counters, Duration pause, TimePoint coldSince, TimePoint now);

// Takes the right to do so. False if another thread took it in between.
bool takeWarmup(ServerCounters &counters, Duration pause, TimePoint coldSince, TimePoint now);

// Whether so long has passed since anyone confirmed the list that it may miss a server's turning
// cold; the servers themselves are then asked.
bool isOld(const ListState &list, TimePoint now);

// The time that this instance leaves between two requests to a server that may have turned cold
// since it was last asked; empty if others may use up all that one bears until the next look. Dealt
// out like what a cold one bears, so that a burst from all senders stays within it.
std::optional<Duration> pauseWhileUnsure(double rate, const WarmupBound &bound,
                                         const std::vector<std::string> &senders,
                                         const std::string &self, const std::string &server);

// A server that may have turned cold, as one instance sees it.
struct UnsureServer
{
    TimePoint sentAt{}; // this instance's last request to it
    std::optional<Duration> pause = Duration(0); // as above; zero: it is never cold
    bool operator==(const UnsureServer &) const = default;
};

// Which of them may get a request now, by index; if none, when one of them may.
struct UnsureAnswer
{
    std::vector<std::size_t> rested;
    Duration wait{};
    bool operator==(const UnsureAnswer &) const = default;
};

// An instance to which none of the servers falls may use the one that has rested longest: a refusal
// would be certain harm. Of no servers, none may.
UnsureAnswer spreadWhileUnsure(std::span<const UnsureServer> servers, TimePoint now);

} // namespace ibisnotch
