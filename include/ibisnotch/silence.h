// Distinguishes a backend server that has stopped responding from one that is only slow.
#pragma once

#include <cstdint>

#include "ibisnotch/clock.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// Called before a request is sent. Returns the server's recovery epoch, which the caller passes to
// recordStreamStarted() and recordFinished().
std::uint32_t recordSent(ServerCounters &counters, TimePoint now);

// Called when the response to a request begins to stream. Returns whether the stream was counted,
// which the caller passes to recordFinished().
bool recordStreamStarted(ServerCounters &counters, std::uint32_t recoveryEpoch);

// Called when a request has finished.
void recordFinished(ServerCounters &counters, std::uint32_t recoveryEpoch, bool streamCounted);

// Called when the server has recovered. Starts a new recovery epoch, so that earlier requests no
// longer count: streams that a server lost in a power failure never end, and made it silent again
// right after each health check until it needed a trial.
void recordRecovered(ServerCounters &counters, TimePoint now);

// Called when a byte of any response arrives.
void recordReceived(ServerCounters &counters, TimePoint now);

// Returns whether a byte from the server arrived within the last `span`.
bool receivedWithin(const ServerCounters &counters, Duration span, TimePoint now);

// Returns whether no response of the server has made progress for longer than is usual at a working
// server. The decision may be based on a single stream, so it doesn't prove that the server has
// failed.
bool isSilent(const ServerCounters &counters, TimePoint now);

// Returns whether to send a status check to a silent server now, before its requests are ended, and
// records it as sent if so. Not safe for concurrent calls.
bool tryAcquireStatusCheck(ServerCounters &counters, TimePoint now);

// Records the result of a status check.
void recordStatusCheck(ServerCounters &counters, bool passed, TimePoint now);

// Returns whether a server is silent and has also failed a status check since.
bool isUnresponsive(const ServerCounters &counters, TimePoint now);

// What an instance believes of a server.
enum class ServerBelief {
    responding,
    doubted, // it is silent here, which proves nothing: this instance sends it nothing new
    silent, // it fails checks or does no work: the region sends it nothing
};

// Decides what to believe of a server that was believed `before` to be responding or doubted.
// `canJudge` is false while the fault may be on this instance's side, because it receives nothing
// from any server; the belief then gets no worse.
ServerBelief decideBelief(const ServerCounters &counters, ServerBelief before, bool canJudge,
                          TimePoint now);

// Message by which an instance reports at once that a server has become silent or has recovered, so
// that instances of the region that await no response from it stop sending to it too.
struct SilenceUpdate
{
    std::uint32_t server = 0; // serverId() of its name
    bool silent = true; // false if the server has recovered

    template <typename Archive> void serialize(Archive &archive) { archive(server, silent); }
    bool operator==(const SilenceUpdate &) const = default;
};

} // namespace ibisnotch
