// Dispatch: whether a server has crashed, and what is held against the request and the parts of its
// prompt.
#include "attempt.h"
#include "dispatch.h"
#include "filters.h"
#include "health-check.h"
#include "ibisnotch/log.h"
#include "statements.h"

namespace ibisnotch {

namespace {

// By then, a working server has closed the connection or accepted a new one.
constexpr Duration serverCheckDelay = std::chrono::milliseconds(300);

} // namespace

// A connection that breaks accuses the request at once. Servers also time out, or end an answer
// early, without having crashed; then the request is accused only once it is known that the server
// is gone.
bool Dispatch::onSuspectedCrash(const Target &target, AttemptOutcome outcome,
                                const Attempt &attempt)
{
    const bool isBroken = outcome == AttemptOutcome::connectionLost;
    const bool isUnclear
        = outcome == AttemptOutcome::silent || outcome == AttemptOutcome::truncated;
    const bool mayAccuse = !attempt.hasBegun() && (isBroken || isUnclear);
    if (!isBroken && !mayAccuse)
        return false;
    const bool isMarked = isBroken && markCrash(target, m_requestCrashes);
    if (mayAccuse)
        onPromptLost();
    checkServerAlive(
        target, {isMarked, isBroken, m_requestCrashes, mayAccuse, m_knownCrashes, m_triedParts});
    return mayAccuse;
}

bool Dispatch::markCrash(const Target &target, std::size_t knownCrashes)
{
    std::optional<CrashMark> mark;
    {
        const std::lock_guard lock(m_state.quarantineMutex);
        mark = m_state.quarantine.onServerCrashed(m_exchange->fingerprint, target.name,
                                                  knownCrashes, m_state.clock.now());
    }
    if (!mark)
        return false;
    trace("crash mark for " + mark->server);
    m_control.broadcastCrashMarks({*mark});
    return true;
}

// A connection can break although the server still runs. If the same incarnation of the server
// responds, the request did not crash it and the mark is removed. A response of a later
// incarnation, started by a supervisor, must not remove it: that would clear a request that crashes
// the server each time.
void Dispatch::checkServerAlive(const Target &target, const LostAttempt &lost)
{
    m_client.postAfter(serverCheckDelay, [self = shared_from_this(), target, lost] {
        BackendServer server;
        server.address = target.address;
        server.pool = self->m_exchange->pool;
        OutgoingRequest request
            = self->m_protocol.makeHealthCheck(self->m_exchange->config(), server);
        request.limits.total = std::chrono::seconds(1);
        request.useNewConnection = true;
        request.maxBufferedBytes = maxReportBytes;
        const TimePoint sentAt = self->m_state.clock.now();
        sendBuffered(self->m_client, std::move(request),
                     [self, target, lost, sentAt](const BufferedResponse &reply) {
                         if (self->m_protocol.saysServerLeaves(target, reply)
                             && hearLeaving(self->m_state, target, sentAt, "check"))
                             self->m_control.scheduleRoutingUpdate();
                         self->onServerChecked(target, lost, reply);
                     });
    });
}

void Dispatch::onServerChecked(const Target &target, const LostAttempt &lost,
                               const BufferedResponse &reply)
{
    const bool isAlive = m_protocol.isSameIncarnation(target, reply);
    // A server that hangs doesn't respond either. Only a broken connection then shows a crash.
    const bool mayHang = reply.result.outcome == TransferOutcome::timedOut && !lost.isBroken;
    if (isAlive && lost.isMarked)
        clearCrash();
    if (!isAlive && !mayHang && !lost.isBroken)
        (void)markCrash(target, lost.requestCrashes);
    if (!lost.accusesParts)
        return;
    if (isAlive || mayHang)
        onServerAlive(lost.triedParts);
    else
        onServerCrashed(target, lost.knownCrashes);
}

void Dispatch::clearCrash()
{
    std::vector<CrashMark> cleared;
    {
        const std::lock_guard lock(m_state.quarantineMutex);
        cleared = m_state.quarantine.onAnswered(m_exchange->fingerprint);
    }
    if (!cleared.empty())
        m_control.broadcastCrashMarks(std::move(cleared));
}

// A part may have been blocked since the request arrived, while it waited or ran elsewhere. A peer
// decides on its own trials.
bool Dispatch::passesPartCheck(const Target &target)
{
    const TimePoint now = m_state.clock.now();
    const std::string &pool = loadKey(*m_exchange);
    const Prompt &prompt = m_exchange->prompt;
    const Admittance result = target.isPeer
        ? Admittance{m_state.suspects.findBlocked(pool, prompt, now), {}}
        : m_state.suspects.admit(pool, prompt, now);
    m_triedParts = result.tried;
    for (const BlockedPart &part : result.tried) {
        trace("trial of the blocked part " + part.suspect.name);
        logSuspect("Prompt part tried.", part.suspect, m_exchange->id);
    }
    if (!result.blocked)
        return true;
    const Refusal refusal = blockedPartRefusal(*result.blocked);
    logLine(LogPart::request, LogLevel::info, "Not sent.",
            {{"request", m_exchange->id},
             {"code", std::to_string(static_cast<int>(refusal.code))},
             {"by", refusal.detail}});
    settleNotRun();
    refuse(refusal);
    return false;
}

void Dispatch::onAnswerBegun()
{
    const auto cleared = m_state.suspects.onAnswerBegun(loadKey(*m_exchange), m_exchange->prompt,
                                                        m_state.clock.now());
    for (const SuspectPart &suspect : cleared)
        logSuspect("Prompt part cleared.", suspect, m_exchange->id);
    if (!cleared.empty())
        m_control.removeSuspects(cleared);
}

void Dispatch::onPromptLost()
{
    m_state.suspects.onPromptLost(loadKey(*m_exchange), m_exchange->prompt);
}

void Dispatch::returnPartTrial(Duration delay)
{
    if (!m_triedParts.empty())
        m_state.suspects.onTrialUndecided(std::exchange(m_triedParts, {}),
                                          m_state.clock.now() + delay);
}

void Dispatch::onServerAlive(const std::vector<BlockedPart> &triedParts)
{
    m_state.suspects.onServerAlive(loadKey(*m_exchange), m_exchange->prompt);
    // Each trial may take a server's slot for long, if servers hang on the part.
    if (!triedParts.empty())
        m_state.suspects.onTrialUndecided(triedParts,
                                          m_state.clock.now() + PartSuspects::trialDelay);
}

void Dispatch::onServerCrashed(const Target &target, const std::vector<int> &knownCrashes)
{
    const auto suspects = m_state.suspects.onServerCrashed(
        {loadKey(*m_exchange), m_exchange->prompt, knownCrashes, target.name, m_exchange->id},
        m_state.clock.now());
    for (const SuspectPart &suspect : suspects)
        logSuspect(suspicionSentence(suspect), suspect, "crash");
    if (!suspects.empty())
        m_control.recordSuspects(suspects);
}

} // namespace ibisnotch
