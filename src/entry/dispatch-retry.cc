// Dispatch: whether an attempt without progress ends, and whether another one follows a failed one.
#include <algorithm>

#include <fmt/format.h>

#include "attempt.h"
#include "config-skew.h"
#include "dispatch.h"
#include "ibisnotch/log.h"
#include "ibisnotch/read-delay.h"
#include "ibisnotch/silence.h"

namespace ibisnotch {

namespace {

// Timeout of an idempotent request for its first byte: a multiple of the expected duration of one
// run, but at least the minimum. Callers close a stream without data after two seconds at the
// earliest.
constexpr int firstByteTimeoutFactor = 8;
constexpr Duration minFirstByteTimeout = std::chrono::seconds(2);
// Maximum time between two pieces of a response. Callers close a stream without data after two
// seconds at the earliest; a server that sends nothing for three seconds has failed.
constexpr Duration maxStreamGap = std::chrono::seconds(3);
// Highest utilization of a server's slots at which a request may move to it from a working server.
// The limit is lower for streams that have started, because a server that rejects one cuts it off.
constexpr double maxUtilizationForStreams = 0.5;
constexpr double maxUtilizationForOthers = 0.9;
constexpr Duration capacityRetryInterval = std::chrono::milliseconds(150);
// Time for a connection to a server in the same region and the first event it sends.
constexpr Duration minEventTime = std::chrono::milliseconds(50);
// A datagram to an instance in the same region takes about 4 ms.
constexpr Duration crashMarkDelay = std::chrono::milliseconds(10);

// Returns whether a refusal with this code may end before the caller's deadline: servers get room,
// and a trial of the same request ends.
bool isTemporary(ResultCode code)
{
    return code == ResultCode::noBackendServer || code == ResultCode::overloaded
        || code == ResultCode::heldForTrial;
}

} // namespace

// Returns whether the caller has part of a stream that another server can continue.
bool Dispatch::canResume() const
{
    return m_streamStarted && m_hasEventsOnly && m_exchange->service->isResumable
        && !m_exchange->lastEventId.empty();
}

// Returns the least time that another attempt needs. How much of a stream is left is unknown, so a
// stream is resumed even if the time suffices only for its prompt and the next event: the caller
// may get the rest, and without another attempt gets none of it.
Duration Dispatch::minAttemptTime() const
{
    if (!canResume())
        return m_exchange->service->expectedDuration;
    return readTime(m_routeInputs.tokensPerMs, tokensToRead()) + minEventTime;
}

// A stream that is rejected after it has started is lost as a whole, while slots and retries become
// available within tenths of a second. A caller that doesn't want to wait disconnects.
bool Dispatch::mayWaitToResume() const
{
    // A stream that a peer forwarded is refused at once, so that the peer may choose another
    // region.
    const bool isCallersResume = continuesStream() && !m_exchange->fromPeer;
    const bool canWait = canResume() || (isCallersResume && m_exchange->service->isResumable);
    return canWait && remaining() > minAttemptTime() + capacityRetryInterval
        && !m_exchange->responder->isClosed();
}

void Dispatch::logRetryDecision(std::string_view sentence, std::string_view cause)
{
    if (!m_loggedDecisions.insert(sentence).second)
        return;
    const Service &service = *m_exchange->service;
    logLine(
        LogPart::request, LogLevel::warn, sentence,
        {{"request", m_exchange->id},
         {"service", service.name},
         {"cause", std::string(cause)},
         {"attempts", std::to_string(m_attempts)},
         {"runs", fmt::format("{}+{}/{}", m_exchange->previousRuns, m_runs, service.maxAttempts)},
         {"idempotent", fmt::to_string(service.idempotent)},
         {"resumable", fmt::to_string(service.isResumable)},
         {"started", fmt::to_string(m_streamStarted)},
         {"hasEventId", fmt::to_string(!m_exchange->lastEventId.empty())},
         {"fromPeer", fmt::to_string(m_exchange->fromPeer)},
         {"toRegion", fmt::to_string(m_forwardedToRegion)},
         {"neededMs", millisecondsText(minAttemptTime())},
         {"leftMs", millisecondsText(remaining())}});
}

bool Dispatch::waitToResume(const Refusal &refusal)
{
    if (!isTemporary(refusal.code) || !mayWaitToResume())
        return false;
    trace("waiting to resume the stream: " + std::string(resultInfo(refusal.code).name));
    logRetryDecision("Waiting to resume the stream.", resultInfo(refusal.code).name);
    // Servers and regions that rejected the stream before may accept it after the pause.
    m_triedTargets.clear();
    m_stayInRegion = false;
    m_client.postAfter(capacityRetryInterval, [self = shared_from_this()] { self->route(); });
    return true;
}

bool Dispatch::shouldKeepWaiting(const Target &target, const ResponseReader &reader,
                                 TimePoint lastReceivedAt)
{
    const TimePoint now = m_state.clock.now();
    const bool hasStarted = reader.isStreaming();
    const Duration timeout = hasStarted
        ? maxStreamGap
        : std::max(minFirstByteTimeout,
                   m_exchange->service->expectedDuration * firstByteTimeoutFactor);
    const bool overdue = now - lastReceivedAt >= timeout;
    const bool unresponsive = isConfirmedUnresponsive(*target.counters, now);
    const bool mayMove
        = mayRetry(target, AttemptOutcome::silent, m_runs + 1) && canContinueElsewhere();
    const bool mayEnd = overdue && unresponsive;
    // The request may not be sent to another server, so it would certainly fail if this attempt
    // ended. A server that responds to other requests may still respond to this one.
    if (!mayMove)
        return !mayEnd;
    if (!unresponsive && !shouldMove(target, hasStarted || m_streamStarted, overdue, timeout))
        return true;
    // Other threads acquire retries too. If the attempt ended before its retry is acquired, a
    // stream could be left without either.
    m_retryAcquired = tryAcquireBudget(AttemptOutcome::silent);
    return !m_retryAcquired && (m_streamStarted || !mayEnd);
}

// Returns whether an attempt without progress at a working server should end because another server
// would respond sooner.
bool Dispatch::shouldMove(const Target &target, bool callerHasPart, bool overdue,
                          Duration timeout) const
{
    // Another server has to start from the beginning, after all requests that already wait there.
    const bool hasTimeToMove = remaining() >= timeout / 2;
    // A stream that pauses usually continues by itself, and is lost if no other server accepts it.
    const bool silent = !callerHasPart && isSilent(*target.counters, m_state.clock.now());
    const double maxUtilization
        = callerHasPart ? maxUtilizationForStreams : maxUtilizationForOthers;
    return hasTimeToMove && (overdue || silent) && hasCapacityElsewhere(maxUtilization);
}

// Returns true if a server in this region, or another region, has enough capacity to accept a
// request even if other instances send requests there at the same time.
bool Dispatch::hasCapacityElsewhere(double maxUtilization) const
{
    const auto table = m_state.routing.read();
    const auto candidates = candidatesIn(*table);
    const bool hasLocalCapacity
        = std::any_of(candidates.begin(), candidates.end(), [maxUtilization](const Candidate &one) {
              return one.view->status == ServerStatus::usable
                  && one.load <= maxUtilization * one.slots;
          });
    const auto allowed = usableRegions(*table);
    const bool mayUseRemote = !m_stayInRegion && !m_exchange->fromPeer;
    return hasLocalCapacity
        || (mayUseRemote
            && std::any_of(allowed.begin(), allowed.end(), [&](const std::string &region) {
                   const auto load = m_state.regionLoads.find(region, loadKey(*m_exchange),
                                                              m_state.clock.now());
                   return load && load->outstanding < maxUtilization * load->slots;
               }));
}

RetryInput Dispatch::retryInput(AttemptOutcome outcome, int runs) const
{
    RetryInput input;
    input.outcome = outcome;
    input.idempotent = m_exchange->service->idempotent;
    input.callerHasSeenBytes = m_streamStarted && !canResume();
    // Once a stream has started, attempts that were refused don't count, so that other servers can
    // be tried.
    input.attemptsMade = m_streamStarted ? runs : m_attempts;
    input.runsMade = m_exchange->previousRuns + runs;
    input.maxRuns = m_exchange->service->maxAttempts;
    input.remaining = remaining();
    input.expected = minAttemptTime();
    return input;
}

// Returns whether the rules, apart from the retry budget, allow another attempt after this one at
// `target`, if `runs` attempts of this instance may have run.
bool Dispatch::mayRetry(const Target &target, AttemptOutcome outcome, int runs) const
{
    if (decideRetry(retryInput(outcome, runs)) != RetryDecision::retry
        || m_exchange->responder->isClosed() || m_serverReadsSlowly)
        return false;
    // The quarantine trial of a request is one run on one server, even if that server has crashed.
    if (m_isQuarantineTrial && !certainlyNotRun(outcome))
        return false;
    // Only the instance that issued the key may send its booking.
    if (m_forwardedToIssuer)
        return false;
    // Usually the instance that sends to backend servers makes the retries, since it knows how
    // often the request has run. If that peer stops or crashes while it streams, this instance
    // resumes the stream. It doesn't know of a run that has sent the peer no event yet.
    return !isRemote(target) || certainlyNotRun(outcome) || (canResume() && !m_runsUnknown);
}

// Acquires the retry budget for an attempt after one that ended with `outcome`.
bool Dispatch::tryAcquireBudget(AttemptOutcome outcome)
{
    // An attempt without a connection caused no load on a backend server and needs no retry budget.
    if (outcome == AttemptOutcome::notConnected)
        return true;
    return m_state.retryBudget.tryAcquire(m_exchange->customer->name, loadKey(*m_exchange));
}

// Makes another attempt, or ends the request if the rules or the retry budget forbid it. A stream
// that can be resumed waits for the retry budget.
void Dispatch::retryOrEnd(const Target &target, AttemptOutcome outcome)
{
    if (m_hasFinished || (!m_isCut && waitForCaller(target, outcome)))
        return;
    const bool acquiredBefore = std::exchange(m_retryAcquired, false);
    if (!mayRetry(target, outcome, m_runs)) {
        if (acquiredBefore)
            m_state.retryBudget.release(m_exchange->customer->name, loadKey(*m_exchange));
        return endAfterFailure(outcome);
    }
    if (acquiredBefore || tryAcquireBudget(outcome)) {
        m_state.metrics.onRetry();
        trace("retry");
        return routeRetry(outcome);
    }
    logRetryDecision("Retry budget exhausted.", attemptOutcomeName(outcome));
    if (!mayWaitToResume())
        return endAfterFailure(outcome);
    trace("waiting for the retry budget");
    m_client.postAfter(capacityRetryInterval, [self = shared_from_this(), target, outcome] {
        const bool left = self->m_exchange->responder->isClosed();
        self->retryOrEnd(target, left ? AttemptOutcome::callerLeft : outcome);
    });
}

// A server that cannot be reached may just have crashed on a copy of this request that came through
// another instance. The next attempt is delayed until that instance's crash mark has arrived, so
// that checkQuarantine() finds it; otherwise this copy could crash a third server.
void Dispatch::routeRetry(AttemptOutcome outcome)
{
    if (outcome != AttemptOutcome::notConnected)
        return route();
    m_client.postAfter(crashMarkDelay, [self = shared_from_this()] { self->route(); });
}

// Returns true if another region rejected the request for lack of capacity. This happens because
// its reported load is up to half a second old. The request did not run there, so the local region
// may still accept it.
bool Dispatch::isRejectedByRemoteRegion(const Target &target, const Attempt &attempt) const
{
    const ResultCode code = attempt.reader().resultCode();
    const bool noCapacity = code == ResultCode::overloaded || code == ResultCode::noBackendServer
        || code == ResultCode::deadlineTooShort;
    const auto &allowed = m_exchange->allowedRegions;
    const bool localAllowed
        = std::find(allowed.begin(), allowed.end(), m_state.settings.region) != allowed.end();
    const bool mayRunAgain = m_exchange->service->idempotent || !m_mayHaveRun;
    return isRemote(target) && noCapacity && localAllowed && !m_stayInRegion && mayRunAgain
        && !m_forwardedToIssuer && !m_exchange->responder->isClosed();
}

// Returns true if a peer refused the request because of its own state: it starts, stops or has an
// old configuration. Others can serve the request, and none of their servers was asked for it yet.
bool Dispatch::isRefusedByUnreadyPeer(const Target &target, const Attempt &attempt) const
{
    const ResultCode code = attempt.reader().resultCode();
    const bool unready = code == ResultCode::stopping || code == ResultCode::notReady
        || code == ResultCode::configBehind || isRefusedByOlderConfig(target, attempt);
    // Each refusal takes a round trip, so a request that has not begun is refused after a few.
    const bool mayAskAnother = m_streamStarted || m_attempts < maxAttempts;
    const bool mayRunAgain = m_exchange->service->idempotent || !m_mayHaveRun;
    return target.isPeer && unready && mayAskAnother && mayRunAgain && !m_forwardedToIssuer
        && !m_exchange->responder->isClosed();
}

// Returns true if a peer refused the request for good by an older configuration than the one by
// which this instance decided. An instance of an earlier release names no version.
bool Dispatch::isRefusedByOlderConfig(const Target &target, const Attempt &attempt) const
{
    const ResponseReader &reader = attempt.reader();
    return target.isPeer && isDecidedByConfig(reader.resultCode())
        && reader.reportedConfigVersion() < m_exchange->config().version;
}

// Acquires the retry budget for a request that servers of another region rejected: an attempt at a
// server of this region is one more arrival at the service, although the request did not run.
bool Dispatch::acquireRetryAfterRejection()
{
    if (!tryAcquireBudget(AttemptOutcome::refusedNotRun)) {
        logRetryDecision("Retry budget exhausted.", "rejected in another region");
        return false;
    }
    m_state.metrics.onRetry();
    trace("retry");
    return true;
}

void Dispatch::returnToLocalRegion()
{
    trace("rejected by the other region; staying in the local region");
    m_stayInRegion = true;
    m_forwardedToRegion = false;
    // A begun stream is not admitted again and keeps its admission.
    if (m_admitted && !m_streamStarted) {
        m_state.admission.onFinished(m_exchange->customer->name, m_exchange->service->name);
        m_admitted = false;
    }
}

} // namespace ibisnotch
