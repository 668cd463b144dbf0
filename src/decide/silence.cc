#include "ibisnotch/silence.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// A server is silent if none of its streams has sent data for this long. Callers abandon a stream
// after two seconds without data, and resuming it at another server takes most of one second.
constexpr Duration minSilence = std::chrono::milliseconds(600);
// Streams of a slow server pause for longer than minSilence. A pause of this many of its usual
// intervals between events shows that it isn't only slow.
constexpr double maxUsualIntervals = 4;
// The same for responses without a stream: half of the two seconds after which callers leave.
constexpr Duration maxResponseWait = std::chrono::milliseconds(1000);
constexpr Duration statusCheckInterval = std::chrono::milliseconds(300);
// Most reports of responses to other instances arrive within this time. A server that has been
// silent for that much longer does no work for any instance, even if it passes status checks.
constexpr Duration reportDelay = std::chrono::milliseconds(1000);

Duration maxStreamPause(const ServerCounters &counters)
{
    const std::chrono::duration<double> pauses(maxUsualIntervals * counters.eventIntervalSeconds);
    return std::max(minSilence, std::chrono::duration_cast<Duration>(pauses));
}

// In a large region an instance has only one or two streams at a server, and these may pause by
// chance. Responses to other instances, known from load reports, therefore count as activity too.
Duration::rep lastActivity(const ServerCounters &counters)
{
    return std::max({counters.lastReceivedAt.load(), counters.waitingSince.load(),
                     counters.lastRespondedAt.load()});
}

Duration maxSilence(const ServerCounters &counters)
{
    return counters.awaitedStreams > 0 ? maxStreamPause(counters) : maxResponseWait;
}

bool hasReceivedSinceRecovery(const ServerCounters &counters)
{
    return counters.lastReceivedAt >= counters.recoveredAt;
}

ServerBelief judge(const ServerCounters &counters, TimePoint now)
{
    if (!isSilent(counters, now))
        return ServerBelief::responding;
    // A server may pass checks without doing any work, so checks don't excuse these two.
    const bool idleSinceRecovery = !hasReceivedSinceRecovery(counters);
    const Duration silence = now.time_since_epoch() - Duration(lastActivity(counters));
    const bool idleForAll = silence >= maxSilence(counters) + reportDelay;
    if (idleSinceRecovery || idleForAll || isUnresponsive(counters, now))
        return ServerBelief::silent;
    // A single stream may pause by chance; several at once hardly do.
    const bool passed = counters.statusCheckPassedAt > lastActivity(counters);
    return passed && counters.awaitedStreams <= 1 ? ServerBelief::responding
                                                  : ServerBelief::doubted;
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

// If the epoch rises between the check and the decrement, the counts are one too low until the next
// epoch. Then one request isn't counted, but none is mistaken for one that hangs.
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
    // Missing first tokens don't show silence: at a full engine they take seconds, and with a limit
    // of 1 s instances ejected working engines. They do show it at an engine that has sent nothing
    // since it recovered: it isn't full, and it may pass health checks without doing any work.
    const bool receivedSinceRecovery = hasReceivedSinceRecovery(counters);
    const bool firstTokensOnly = counters.awaitedStreams <= 0 && counters.awaitingFirstToken > 0;
    if (firstTokensOnly && receivedSinceRecovery)
        return false;
    const Duration since(lastActivity(counters));
    const Duration allowed = maxSilence(counters);
    return now.time_since_epoch() - since >= allowed;
}

bool tryAcquireStatusCheck(ServerCounters &counters, TimePoint now)
{
    const TimePoint sentAt{Duration(counters.statusCheckSentAt.load())};
    if (!isSilent(counters, now) || now - sentAt < statusCheckInterval)
        return false;
    counters.statusCheckSentAt = now.time_since_epoch().count();
    return true;
}

void recordStatusCheck(ServerCounters &counters, bool passed, TimePoint now)
{
    (passed ? counters.statusCheckPassedAt : counters.statusCheckFailedAt)
        = now.time_since_epoch().count();
}

bool isUnresponsive(const ServerCounters &counters, TimePoint now)
{
    const auto lastSign = std::max(lastActivity(counters), counters.statusCheckPassedAt.load());
    return isSilent(counters, now) && counters.statusCheckFailedAt > lastSign;
}

ServerBelief decideBelief(const ServerCounters &counters, ServerBelief before, bool canJudge,
                          TimePoint now)
{
    const ServerBelief belief = judge(counters, now);
    return canJudge ? belief : std::min(belief, before);
}

} // namespace ibisnotch
