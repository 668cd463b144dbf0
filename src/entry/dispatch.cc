#include "dispatch.h"

#include <algorithm>

#include <fmt/format.h>

#include "attempt.h"
#include "ibisnotch/log.h"
#include "ibisnotch/read-delay.h"
#include "ibisnotch/rules-digest.h"
#include "ibisnotch/server-speed.h"
#include "ibisnotch/silence.h"
#include "statements.h"

namespace ibisnotch {

namespace {

// An attempt that receives nothing is checked for the first time after this.
constexpr Duration progressCheckInterval = std::chrono::milliseconds(600);
// Of connections to servers, if the bytes held for them are limited. Shows how far a server has
// read a long request body.
constexpr int sendBufferBytes = 128 * 1024;

} // namespace

Dispatch::Dispatch(DispatchServices services, ExchangePtr exchange, HttpClient &client)
    : m_state(services.state), m_control(services.control), m_protocol(services.protocol),
      m_claimService(services.claimService), m_exchange(std::move(exchange)), m_client(client),
      m_admissionDraw(services.state.random.uniform()),
      m_regionDraw(services.state.random.uniform())
{
}

void Dispatch::trace(std::string description)
{
    addTraceStep(*m_exchange, m_state.clock, std::move(description));
}

Duration Dispatch::remaining() const
{
    return m_exchange->deadline - m_state.clock.now();
}

std::string Dispatch::servedBy(const Headers &response) const
{
    // A peer reports the instances and the server that handled the request after it.
    return m_state.settings.name + "/" + response.get("X-Served-By").value_or(m_servedBy);
}

void Dispatch::start()
{
    const Exchange &exchange = *m_exchange;
    exchange.responder->setClosedHandler([weak = weak_from_this(), &client = m_client,
                                          leftAt = m_callerLeftAt, &clock = m_state.clock] {
        *leftAt = clock.now();
        client.post([weak] {
            if (const auto self = weak.lock())
                self->onCallerLeft();
        });
    });
    if (exchange.sentBody) {
        exchange.sentBody->setEndTask([weak = weak_from_this(), &client = m_client] {
            client.post([weak] {
                if (const auto self = weak.lock())
                    self->onServerReadsSlowly();
            });
        });
    }
    if (!exchange.isBooking() || exchange.sendRightAcquired) {
        m_sendRight = SendRight::notNeeded;
        return route();
    }
    acquireSendRight();
}

// ---- Attempts -----------------------------------------------------------------------------------

// Cancels the current transfer, because work for a caller that has disconnected would occupy a
// slot. The backend server sees its connection close and stops.
void Dispatch::onCallerLeft()
{
    if (const auto attempt = m_currentAttempt.lock())
        m_client.cancel(attempt);
}

void Dispatch::route()
{
    if (m_hasFinished)
        return;
    if (m_exchange->responder->isClosed()) {
        settleNotRun();
        return finish(ResultCode::callerLeft);
    }
    if (continuesStream() && !m_exchange->origin)
        return findOrigin();
    if (continuesStream() && !useOriginPool())
        return refuse({ResultCode::streamVersionGone, "", {}});
    const auto planned = plan(true);
    if (const auto *refusal = std::get_if<Refusal>(&planned)) {
        if (waitToResume(*refusal))
            return;
        settleNotRun();
        return refuse(*refusal);
    }
    if (const auto *wait = std::get_if<PlanAgain>(&planned)) {
        ++m_coldCheckWaits;
        trace("waiting for the health check of a possibly cold server");
        return m_client.postAfter(wait->time, [self = shared_from_this()] { self->route(); });
    }
    const Target &target = std::get<Target>(planned);
    if (target.isPeer)
        trace("forwarded to " + target.name);
    send(target);
}

QuarantineDecision Dispatch::checkQuarantine()
{
    const std::lock_guard lock(m_state.quarantineMutex);
    const auto decision = m_state.quarantine.check(m_exchange->fingerprint, m_state.clock.now());
    m_requestCrashes = m_state.quarantine.knownCrashes(m_exchange->fingerprint);
    m_isQuarantineTrial = decision == QuarantineDecision::trial;
    if (m_isQuarantineTrial)
        m_state.quarantine.onTrialStarted(m_exchange->fingerprint);
    return decision;
}

bool Dispatch::passesQuarantine()
{
    const QuarantineDecision decision = checkQuarantine();
    if (decision == QuarantineDecision::clear || decision == QuarantineDecision::trial)
        return true;
    const Refusal refusal{ResultCode::heldForTrial, "", jitteredRetryAfter(2, m_state.random)};
    // A stream is released if the trial of its copy succeeds. A quarantined one never is.
    if (decision == QuarantineDecision::held && waitToResume(refusal))
        return false;
    settleNotRun();
    refuse(refusal);
    return false;
}

TransferLimits Dispatch::limitsFor(const Target &target) const
{
    TransferLimits limits;
    limits.connect = std::min(connectTimeout, remaining());
    limits.total = remaining();
    // An idempotent request doesn't use all its time on a connection that may be broken. A booking
    // that may have run must not be sent again, so it waits.
    const bool canMove = m_exchange->service->idempotent && !target.isPeer;
    limits.firstByte = canMove ? std::min(progressCheckInterval, limits.total) : limits.total;
    limits.idle = canMove ? progressCheckInterval : limits.total;
    return limits;
}

// An instance of another region counts from the arrival there. It doesn't see this instance give up
// before the way has been gone once more.
Duration Dispatch::waitAt(const Target &target) const
{
    constexpr Duration leastWait = std::chrono::milliseconds(1);
    const Duration way = isRemote(target) ? m_exchange->config().regionOneWay : Duration(0);
    return std::max(remaining() - way, leastWait);
}

OutgoingRequest Dispatch::makeRequest(const Target &target) const
{
    const Exchange &exchange = *m_exchange;
    const Duration wait = waitAt(target);
    OutgoingRequest request = target.isPeer ? m_protocol.makePeerRequest(exchange, target, wait)
                                            : m_protocol.makeServerRequest(exchange, target, wait);
    request.limits = limitsFor(target);
    // On a connection that was used before, a second response to an earlier run may still come.
    request.useNewConnection = request.useNewConnection || m_attempts > 1 || m_wasSentBefore;
    if (target.counters) {
        const ConnectionReuse reuse = connectionReuse(*target.counters, m_state.clock.now());
        request.useNewConnection = request.useNewConnection || !reuse.isAllowed;
        request.maxConnectionAge = reuse.maxAge;
    }
    request.sendBufferBytes = m_state.buffers.isEnabled() ? sendBufferBytes : 0;
    if (!target.isPeer)
        return request;
    ForwardPath path = exchange.path;
    path.push_back(m_state.hop());
    request.headers.add(std::string(forwardPathHeader), formatForwardPath(path));
    request.headers.add(std::string(runsHeader), std::to_string(exchange.previousRuns + m_runs));
    request.headers.add(std::string(attemptsHeader),
                        std::to_string(exchange.previousAttempts + m_serverAttempts));
    request.headers.add(std::string(configVersionHeader),
                        std::to_string(exchange.config().version));
    request.headers.add(std::string(rulesHeader),
                        rulesDigest(exchange.config(), *exchange.customer, *exchange.service));
    if (const StreamOrigin *origin = continuedOrigin()) {
        request.headers.add(std::string(originPoolHeader), origin->pool);
        request.headers.add(std::string(originVersionHeader), origin->softwareVersion);
    }
    const bool holdsRight = m_sendRight == SendRight::claim || m_sendRight == SendRight::issuedKey;
    if (holdsRight || exchange.sendRightAcquired)
        request.headers.add("X-Ibisnotch-Cleared-By", m_state.settings.name);
    return request;
}

std::int64_t Dispatch::tokensToRead() const
{
    const Prompt &prompt = m_exchange->prompt;
    return std::max<std::int64_t>(0, prompt.tokens - prompt.sharedTokens());
}

void Dispatch::removeAwaitedFirstToken(const Target &target)
{
    target.counters->awaitingFirstToken -= std::exchange(m_awaitingFirstToken, false) ? 1 : 0;
}

void Dispatch::recordFirstByte(const Target &target)
{
    if (m_exchange->prompt.tokens == 0)
        return;
    const double waiting = m_responseLoad ? m_responseLoad->waiting : 0;
    recordFirstToken(*target.counters,
                     {tokensToRead(), waiting, m_state.clock.now() - m_attemptStartedAt,
                      m_routeInputs.tokensPerMs});
    m_state.promptLengths.onPrompt(loadKey(*m_exchange), tokensToRead());
    m_state.engineStatistics.onPromptRead(loadKey(*m_exchange), tokensToRead(),
                                          m_state.clock.now() - m_attemptStartedAt);
    if (m_routeInputs.forecast) {
        const double ownSeconds = seconds(readTime(m_routeInputs.tokensPerMs, tokensToRead()));
        m_state.engineStatistics.onFirstEvent(m_exchange->service->name,
                                              seconds(m_state.clock.now() - m_attemptStartedAt)
                                                      / m_routeInputs.serverSlowdown
                                                  - ownSeconds,
                                              m_routeInputs.aheadSeconds);
    }
    removeAwaitedFirstToken(target);
    recordKeptParts(target);
}

void Dispatch::onServerResponse(const Target &target, const ResponseReader &reader)
{
    if (target.isPeer)
        return;
    recordReceived(*target.counters, m_state.clock.now());
    m_responseLoad = reader.reportedLoad();
    if (reader.isStreaming()) {
        recordFirstByte(target);
        m_streamRecorded
            = m_streamRecorded || recordStreamStarted(*target.counters, m_recoveryEpoch);
    }
    hearRest(m_state, target, m_attemptStartedAt, reader.statement().rest, m_exchange->id);
    // Few servers name a limit, so most responses need not go through the control loop.
    const NamedLimit limit = reader.namedLimit();
    if (target.limited || limit.perSecond > 0 || !limit.invalidText.empty())
        m_control.onNamedLimit(target.name, limit, m_attemptStartedAt);
    if (reader.statement().leaving
        && hearLeaving(m_state, target, m_attemptStartedAt, m_exchange->id))
        m_control.scheduleRoutingUpdate();
    if (m_responseLoad)
        hearSlowdown(m_state, target.name, *target.counters, *m_responseLoad);
    if (const auto load = m_responseLoad)
        m_state.servers.onResponseLoad(target.name, load->running, load->waiting,
                                       m_state.clock.now());
}

void Dispatch::writeToCaller(const Attempt &attempt, std::string data)
{
    const ResponseReader &reader = attempt.reader();
    const int runs = std::max(m_exchange->previousRuns + m_runs + 1, reader.reportedRuns());
    if (m_exchange->lastEventId.empty() && !reader.lastEventId().empty())
        onStreamBegun(attempt);
    if (!m_streamStarted) {
        m_streamStarted = true;
        m_hasEventsOnly = reader.isStreaming();
        m_firstByteAt = m_state.clock.now();
        const HttpResponse &response = attempt.response();
        Headers headers = m_protocol.makeResponseHeaders(
            *m_exchange, ResultCode::served, response.headers, servedBy(response.headers));
        addCountsToPeer(headers, runs);
        addOriginToPeer(headers);
        m_statusSent = response.status;
        m_exchange->responder->start(response.status, headers);
    } else if (m_exchange->fromPeer && runs != m_reportedRuns) {
        data.insert(0, m_protocol.makeRunsReport(runs));
    }
    m_reportedRuns = runs;
    if (const std::string last = reader.lastEventId(); !last.empty())
        m_exchange->lastEventId = last;
    m_exchange->responder->write(std::move(data));
}

// Returns whether the target is an instance of another region.
bool Dispatch::isRemote(const Target &target) const
{
    return target.isPeer && target.region != m_state.settings.region;
}

// Adds the request's share to the retry budget. If it is sent to another region first, the instance
// there and the one that forwards it may both have to retry it, and each adds half.
void Dispatch::addRetryShare(const Target &target)
{
    const bool isFirst
        = m_attempts == 1 && m_exchange->previousRuns == 0 && m_exchange->previousAttempts == 0;
    if (!isFirst)
        return;
    const bool isForwarded = target.isPeer || m_exchange->fromPeer;
    const double share = m_exchange->config().limits.retryShare;
    m_state.retryBudget.onRequest(m_exchange->customer->name, loadKey(*m_exchange),
                                  isForwarded ? share / 2 : share);
}

void Dispatch::send(const Target &target)
{
    if (remaining().count() <= 0) {
        settleNotRun();
        return refuse({ResultCode::deadlineTooShort, "", jitteredRetryAfter(1, m_state.random)});
    }
    ServerTrial trial = target.trial ? ServerTrial(target.counters) : ServerTrial();
    // Another thread has just begun to test this server.
    if (target.trial && !trial.hasBegun())
        return route();
    if (!passesStop() || !passesPartCheck(target))
        return;
    if (!target.isPeer && !passesQuarantine())
        return returnPartTrial(Duration(0));
    ++m_attempts;
    m_serverAttempts += target.isPeer ? 0 : 1;
    m_attemptStartedAt = m_state.clock.now();
    const std::string sentId = m_protocol.requestId(m_exchange->request, m_exchange->fromPeer);
    m_wasSentBefore
        = m_state.sentIds.add(sentId.empty() ? m_exchange->id : sentId, m_attemptStartedAt);
    m_triedTargets.insert(target.name);
    m_servedBy = target.name;
    if (target.isPeer)
        m_isQuarantineTrial = false; // of an earlier attempt
    m_knownCrashes = m_state.suspects.knownCrashes(loadKey(*m_exchange), m_exchange->prompt);
    if (isRemote(target)) {
        m_forwardedToRegion = true;
        m_state.regionLoads.onForwarded(target.region, loadKey(*m_exchange));
    }
    addRetryShare(target);
    if (target.counters) {
        m_recoveryEpoch = recordSent(*target.counters, m_attemptStartedAt);
        ++target.counters->inFlight;
        ++target.counters->sentSinceReport;
        m_awaitingFirstToken = m_exchange->prompt.tokens > 0;
        target.counters->awaitingFirstToken += m_awaitingFirstToken ? 1 : 0;
    }
    if (continuesStream())
        logContinuation(target);
    auto attempt = std::make_shared<Attempt>(shared_from_this(), target, std::move(trial),
                                             m_protocol.makeReader(*m_exchange, target.isPeer));
    m_currentAttempt = attempt;
    m_client.send(makeRequest(target), std::move(attempt));
}

void Dispatch::onAttemptFinished(const Target &target, AttemptOutcome outcome, Attempt &attempt)
{
    const bool isRejected
        = outcome == AttemptOutcome::answered && isRejectedByRemoteRegion(target, attempt);
    const bool isUnready
        = outcome == AttemptOutcome::answered && isRefusedByUnreadyPeer(target, attempt);
    // The caller already has part of a stream, which a response of another kind cannot continue.
    if (outcome == AttemptOutcome::answered && m_streamStarted && !attempt.hasWritten()
        && !attempt.reader().isStreaming())
        outcome = isNotRunAtPeer(target, attempt) ? AttemptOutcome::refusedNotRun
                                                  : AttemptOutcome::serverError;
    const bool mayPassOn = !isFalsePromise(attempt);
    if (outcome == AttemptOutcome::answered && !mayPassOn)
        outcome = AttemptOutcome::serverError;
    recordAttempt(target, outcome, attempt);
    countRuns(target, outcome, attempt);
    const bool reachedServers = countPeerAttempts(attempt);
    if (outcome == AttemptOutcome::serverError && m_protocol.passesServerErrors()
        && !m_streamStarted && mayPassOn)
        m_serverError = attempt.response();
    m_mayHaveRun
        = m_mayHaveRun || (!certainlyNotRun(outcome) && outcome != AttemptOutcome::answered);
    if (m_isQuarantineTrial) {
        const std::lock_guard lock(m_state.quarantineMutex);
        m_state.quarantine.onTrialFinished(m_exchange->fingerprint);
    }
    const bool maySuspect
        = !target.isPeer && !m_exchange->responder->isClosed() && !m_serverReadsSlowly;
    if (!maySuspect || !onSuspectedCrash(target, outcome, attempt))
        returnPartTrial(Duration(0));
    // The attempt reached no backend server, so the next one is no retry of it.
    if (isUnready && !reachedServers) {
        m_forwardedToRegion = false;
        return route();
    }
    if (isRejected) {
        // A begun stream passes no admission, so its further attempts count as retries.
        if (!m_streamStarted && reachedServers && !acquireRetryAfterRejection())
            return deliver(attempt);
        returnToLocalRegion();
        if (!m_streamStarted)
            return route();
    }
    const bool completeStream
        = outcome == AttemptOutcome::answered && attempt.reader().eventCount() > 0;
    if (completeStream && !target.isPeer && m_attempts == 1)
        m_state.streamStatistics.onStreamEnded(*m_exchange->service, m_exchange->priority,
                                               loadKey(*m_exchange), attempt.reader().eventCount(),
                                               m_state.clock.now());
    if (completeStream && m_attempts == 1)
        recordEndedStream(target, attempt);
    if (outcome == AttemptOutcome::answered)
        return deliver(attempt);
    retryOrEnd(target, outcome);
}

} // namespace ibisnotch
