// Tells a backend server from which nothing comes any more from one that is merely slow.
#pragma once

#include <cstdint>

#include "ibisnotch/clock.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// Before a request is sent. Returns the server's turn, for recordStreamStarted and recordFinished.
std::uint32_t recordSent(ServerCounters &counters, TimePoint now);

// A request's stream has begun. True if it counts, which recordFinished is to be told.
bool recordStreamStarted(ServerCounters &counters, std::uint32_t recoveryEpoch);

// A request is over.
void recordFinished(ServerCounters &counters, std::uint32_t recoveryEpoch, bool streamCounted);

// The server is taken for sound again. What was sent before may hang for good, whatever the server
// does now: streams that a server had lost with its power made it silent again at once after each
// health check, until none was believed.
void recordRecovered(ServerCounters &counters, TimePoint now);

// A byte of any answer came.
void recordReceived(ServerCounters &counters, TimePoint now);

// Whether anything came from the server within the last `span`.
bool receivedWithin(const ServerCounters &counters, Duration span, TimePoint now);

// True once a server keeps all that this instance waits for there waiting longer than a sound one
// mostly would. What the instance waits for may be one stream, so this is no proof.
bool isSilent(const ServerCounters &counters, TimePoint now);

// Whether to ask a silent server now if it lives, before what runs there is ended. Counts as asked
// if so; for one caller at a time.
bool tryAcquireHealthCheck(ServerCounters &counters, TimePoint now);

// How the question ended.
void recordHealthCheck(ServerCounters &counters, bool answered, TimePoint now);

// True once a server is silent and has not answered, either, when it was asked.
bool isUnresponsive(const ServerCounters &counters, TimePoint now);

// What instances of a region tell each other at once, so that those which wait for nothing there
// send nothing there either.
struct SilenceUpdate
{
    std::uint32_t server = 0; // serverId of its name
    bool silent = true; // false: heard again

    template <typename Archive> void serialize(Archive &archive) { archive(server, silent); }
    bool operator==(const SilenceUpdate &) const = default;
};

} // namespace ibisnotch
