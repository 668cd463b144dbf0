// Dispatch: what a finished attempt leaves behind.
#include <algorithm>

#include <fmt/format.h>

#include "attempt.h"
#include "dispatch.h"
#include "ibisnotch/log.h"
#include "ibisnotch/read-delay.h"
#include "ibisnotch/server-speed.h"
#include "ibisnotch/silence.h"

namespace ibisnotch {

namespace {

std::string transferText(const TransferResult &result)
{
    std::string text(transferOutcomeName(result.outcome));
    if (result.headFault != HeadFault::none)
        return text + ", faulty head: " + std::string(headFaultName(result.headFault));
    return result.headReceived ? text : text + ", no head";
}

} // namespace

void Dispatch::recordAttempt(const Target &target, AttemptOutcome outcome, const Attempt &attempt)
{
    m_state.metrics.onAttempt(attemptOutcomeName(outcome));
    recordMismatch(target, attempt.reader().mismatchCause());
    m_lastTransfer = transferText(attempt.transfer());
    m_peerVersion = attempt.reader().reportedConfigVersion();
    if (m_peerVersion != 0 && m_peerVersion != m_exchange->config().version)
        m_control.onVersionOf(target.name, m_peerVersion);
    trace(
        fmt::format("attempt {} at {}: {}", m_attempts, target.name, attemptOutcomeName(outcome)));
    if (target.isPeer) {
        if (isRemote(target))
            m_state.regionLoads.onForwardedFinished(target.region, loadKey(*m_exchange));
        return logFailedAttempt(target, outcome, attempt);
    }
    const Duration duration = m_state.clock.now() - m_attemptStartedAt;
    m_cost += target.cost * std::chrono::duration<double>(duration).count();
    removeAwaitedFirstToken(target);
    recordFinished(*target.counters, m_recoveryEpoch, std::exchange(m_streamRecorded, false));
    --target.counters->inFlight;
    ++target.counters->endedSinceReport;
    const bool refused
        = outcome == AttemptOutcome::refusedNotRun || outcome == AttemptOutcome::rejected;
    const bool failed = outcome != AttemptOutcome::answered && !refused;
    if (outcome == AttemptOutcome::callerLeft || outcome == AttemptOutcome::cutByStop)
        return;
    AttemptHealth health = failed ? AttemptHealth::failed : AttemptHealth::good;
    if (outcome == AttemptOutcome::notConnected || outcome == AttemptOutcome::otherServer)
        health = AttemptHealth::notConnected;
    // A complete error response shows that the server works; the error concerns the request only.
    if (outcome == AttemptOutcome::serverError && m_protocol.passesServerErrors())
        health = AttemptHealth::good;
    m_state.servers.onAttempt(target.name, health, m_state.clock.now());
    if (failed) {
        m_control.scheduleRoutingUpdate();
        logFailedAttempt(target, outcome, attempt);
    }
}

void Dispatch::recordMismatch(const Target &target, MismatchCause cause)
{
    if (cause == MismatchCause::none)
        return;
    m_state.metrics.onMismatch(mismatchCauseName(cause));
    if (!isForeign(cause) || !target.counters)
        return;
    const TimePoint now = m_state.clock.now();
    const bool wasAllowed = connectionReuse(*target.counters, now).isAllowed;
    recordForeignAnswer(*target.counters, now);
    if (wasAllowed)
        logLine(LogPart::request, LogLevel::warn, "Backend server answers twice.",
                {{"request", m_exchange->id},
                 {"server", target.name},
                 {"mismatch", std::string(mismatchCauseName(cause))},
                 {"newConnectionsMs", millisecondsText(foreignAnswerTime)}});
}

void Dispatch::logFailedAttempt(const Target &target, AttemptOutcome outcome,
                                const Attempt &attempt) const
{
    const bool failed = outcome != AttemptOutcome::answered
        && outcome != AttemptOutcome::refusedNotRun && outcome != AttemptOutcome::rejected
        && outcome != AttemptOutcome::callerLeft && outcome != AttemptOutcome::cutByStop;
    if (!failed)
        return;
    logLine(LogPart::request, LogLevel::warn, "Attempt failed.",
            {{"request", m_exchange->id},
             {"customer", m_exchange->customer->name},
             {"server", target.name},
             {"end", std::string(attemptOutcomeName(outcome))},
             {"transfer", m_lastTransfer},
             {"mismatch", std::string(mismatchCauseName(attempt.reader().mismatchCause()))},
             {"begun", fmt::to_string(attempt.hasBegun())},
             {"parts", sharedPartsText(m_exchange->prompt)},
             {"ms", millisecondsText(m_state.clock.now() - m_attemptStartedAt)}});
}

void Dispatch::recordEndedStream(const Target &target, const Attempt &attempt)
{
    const Features &features = m_state.settings.features;
    const bool isNeeded = usesForecasts(features) || features.regionPlan;
    if (!isNeeded || m_exchange->prompt.tokens == 0)
        return;
    const TimePoint now = m_state.clock.now();
    const std::string &pool = loadKey(*m_exchange);
    EndedStream stream;
    stream.tokens = static_cast<double>(m_exchange->prompt.tokens);
    stream.events = attempt.reader().eventCount();
    stream.streaming = now - m_firstByteAt.value_or(m_attemptStartedAt);
    if (!target.isPeer) {
        stream.slowdown = statedSlowdown(*target.counters, now);
        recordPace(*target.counters, usualInterval(stream),
                   m_state.engineStatistics.facts(pool).meanEventSeconds);
    }
    m_state.engineStatistics.onStreamEnded(pool, m_exchange->service->name, stream);
}

// A peer's attempts count as this instance's, as both together may make no more than the service
// permits.
void Dispatch::countRuns(const Target &target, AttemptOutcome outcome, const Attempt &attempt)
{
    const bool refusedByPeer
        = outcome == AttemptOutcome::answered && isNotRunAtPeer(target, attempt);
    const bool mayHaveRun = !certainlyNotRun(outcome) && !refusedByPeer;
    const int reportedRuns = attempt.reader().reportedRuns();
    m_runs += mayHaveRun ? 1 : 0;
    m_runsUnknown = target.isPeer && mayHaveRun && reportedRuns == 0;
    m_runs = std::max(m_runs, reportedRuns - m_exchange->previousRuns);
}

bool Dispatch::countPeerAttempts(const Attempt &attempt)
{
    const int before = m_serverAttempts;
    const int reported = attempt.reader().reportedAttempts() - m_exchange->previousAttempts;
    m_serverAttempts = std::max(m_serverAttempts, reported);
    return m_serverAttempts > before;
}

bool Dispatch::isFalsePromise(const Attempt &attempt) const
{
    return !m_exchange->service->idempotent && attempt.reader().promisesNotRun();
}

// Returns whether a peer reports that it refused the request and that no attempt of it ran.
bool Dispatch::isNotRunAtPeer(const Target &target, const Attempt &attempt)
{
    return target.isPeer && resultInfo(attempt.reader().resultCode()).runState == RunState::notRun;
}

} // namespace ibisnotch
