// Tells a backend server from which nothing comes any more from one that is merely slow.
#pragma once

#include <cstdint>

#include "ibisnotch/clock.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// Before a request is sent, with the number of requests under way there.
void noteSent(ServerCounters &counters, int underWay, TimePoint now);

// A byte of any answer came.
void noteHeard(ServerCounters &counters, TimePoint now);

// Whether anything came from the server within the last `span`.
bool heardWithin(const ServerCounters &counters, Duration span, TimePoint now);

// True once a server keeps all that this instance waits for there waiting longer than a sound one
// would.
bool isSilent(const ServerCounters &counters, TimePoint now);

// What instances of a region tell each other at once, so that those which wait for nothing there
// send nothing there either.
struct SilenceNews
{
    std::uint32_t server = 0; // serverId of its name
    bool silent = true; // false: heard again

    template <typename Archive> void serialize(Archive &archive) { archive(server, silent); }
    bool operator==(const SilenceNews &) const = default;
};

} // namespace ibisnotch
