#include "ibisnotch/silence.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// Between two events of a stream an engine makes at most a few steps of 30 ms, also while it reads
// long prompts for others. An engine that works four times as slowly still shows within this.
constexpr Duration longestPauseOfStreams = std::chrono::milliseconds(600);
// Plain services answer in some tens of milliseconds.
constexpr Duration longestWaitForAnswer = std::chrono::milliseconds(1000);

} // namespace

void noteSent(ServerCounters &counters, int underWay, TimePoint now)
{
    if (underWay == 0)
        counters.waitingSince = now.time_since_epoch().count();
}

void noteHeard(ServerCounters &counters, TimePoint now)
{
    counters.heardAt = now.time_since_epoch().count();
}

bool heardWithin(const ServerCounters &counters, Duration span, TimePoint now)
{
    return now.time_since_epoch() - Duration(counters.heardAt.load()) < span;
}

bool isSilent(const ServerCounters &counters, TimePoint now)
{
    // First tokens say nothing: at a full engine they take seconds, and taking 1 s for silence had
    // instances drop sound engines (refused on a day with engines taken away 0.002 to 0.016).
    const bool firstTokensOnly = counters.streaming == 0 && counters.awaitingFirst > 0;
    if (counters.inFlight <= 0 || firstTokensOnly)
        return false;
    const Duration since(std::max(counters.heardAt.load(), counters.waitingSince.load()));
    const Duration allowed = counters.streaming > 0 ? longestPauseOfStreams : longestWaitForAnswer;
    return now.time_since_epoch() - since >= allowed;
}

} // namespace ibisnotch
