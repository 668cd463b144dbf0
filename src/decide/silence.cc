#include "ibisnotch/silence.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// All streams of a server pausing together: callers leave one that brings nothing for two seconds,
// and going on elsewhere takes the better part of one.
constexpr Duration minSilence = std::chrono::milliseconds(600);
// A slow server's streams pause for longer than that; so many of its usual pauses show that it is
// not merely slow.
constexpr double maxUsualIntervals = 4;
// An answer without a stream: half of the two seconds after which callers go elsewhere.
constexpr Duration maxAnswerWait = std::chrono::milliseconds(1000);
constexpr Duration healthCheckInterval = std::chrono::milliseconds(300);

Duration maxStreamPause(const ServerCounters &counters)
{
    const std::chrono::duration<double> pauses(maxUsualIntervals * counters.eventIntervalSeconds);
    return std::max(minSilence, std::chrono::duration_cast<Duration>(pauses));
}

// One or two streams pause together by chance, on a server whose others go on; an instance of a
// large region has no more there. What the server answered to others tells.
Duration::rep lastActivity(const ServerCounters &counters)
{
    return std::max({counters.lastReceivedAt.load(), counters.waitingSince.load(),
                     counters.lastAnsweredAt.load()});
}

} // namespace

std::uint32_t recordSent(ServerCounters &counters, TimePoint now)
{
    counters.lastSentAt = now.time_since_epoch().count();
    if (counters.awaitedRequests++ <= 0)
        counters.waitingSince = now.time_since_epoch().count();
    return counters.recoveryEpoch;
}

bool recordStreamStarted(ServerCounters &counters, std::uint32_t recoveryEpoch)
{
    const bool counts = counters.recoveryEpoch == recoveryEpoch;
    counters.awaitedStreams += counts ? 1 : 0;
    return counts;
}

// A turn that rises in between leaves a count one too low until the next turn: one request less is
// heeded, none is taken for one that hangs.
void recordFinished(ServerCounters &counters, std::uint32_t recoveryEpoch, bool streamCounted)
{
    if (counters.recoveryEpoch != recoveryEpoch)
        return;
    --counters.awaitedRequests;
    counters.awaitedStreams -= streamCounted ? 1 : 0;
}

void recordRecovered(ServerCounters &counters, TimePoint now)
{
    ++counters.recoveryEpoch;
    counters.awaitedRequests = 0;
    counters.awaitedStreams = 0;
    counters.recoveredAt = now.time_since_epoch().count();
}

void recordReceived(ServerCounters &counters, TimePoint now)
{
    counters.lastReceivedAt = now.time_since_epoch().count();
}

bool receivedWithin(const ServerCounters &counters, Duration span, TimePoint now)
{
    return now.time_since_epoch() - Duration(counters.lastReceivedAt.load()) < span;
}

bool isSilent(const ServerCounters &counters, TimePoint now)
{
    if (counters.awaitedRequests <= 0)
        return false;
    // First tokens say nothing: at a full engine they take seconds, and taking 1 s for silence had
    // instances drop sound engines. Of an engine that is just back in use and has sent nothing yet,
    // they do: it is not full, and the check that brought it back may have lied.
    const bool receivedSinceRecovery = counters.lastReceivedAt >= counters.recoveredAt;
    const bool firstTokensOnly = counters.awaitedStreams <= 0 && counters.awaitingFirstToken > 0;
    if (firstTokensOnly && receivedSinceRecovery)
        return false;
    const Duration since(lastActivity(counters));
    const Duration allowed = counters.awaitedStreams > 0 ? maxStreamPause(counters) : maxAnswerWait;
    return now.time_since_epoch() - since >= allowed;
}

bool tryAcquireHealthCheck(ServerCounters &counters, TimePoint now)
{
    const TimePoint asked{Duration(counters.healthCheckSentAt.load())};
    if (!isSilent(counters, now) || now - asked < healthCheckInterval)
        return false;
    counters.healthCheckSentAt = now.time_since_epoch().count();
    return true;
}

void recordHealthCheck(ServerCounters &counters, bool answered, TimePoint now)
{
    (answered ? counters.healthCheckPassedAt : counters.healthCheckFailedAt)
        = now.time_since_epoch().count();
}

bool isUnresponsive(const ServerCounters &counters, TimePoint now)
{
    const auto sign = std::max(lastActivity(counters), counters.healthCheckPassedAt.load());
    return isSilent(counters, now) && counters.healthCheckFailedAt > sign;
}

} // namespace ibisnotch
