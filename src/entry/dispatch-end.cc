// Dispatch: the response, refusal or aborted stream that ends a request, with its metrics and log
// line.
#include <fmt/format.h>

#include "attempt.h"
#include "config-skew.h"
#include "dispatch.h"
#include "ibisnotch/log.h"
#include "ibisnotch/store.h"

namespace ibisnotch {

void Dispatch::deliver(Attempt &attempt)
{
    if (m_isQuarantineTrial)
        clearCrash();
    const ResultCode code = attempt.reader().resultCode();
    const RunState run = resultInfo(code).runState;
    // A peer's refusal covers only its own attempts; an earlier attempt of this instance may have
    // run.
    if (run == RunState::notRun && m_mayHaveRun) {
        settleUnknown();
        return refuse({code, "", jitteredRetryAfter(1, m_state.random)});
    }
    if (!m_streamStarted && isRefusedByOlderConfig(attempt.target(), attempt)) {
        settleNotRun();
        return refuse(configBehindRefusal(m_state, "peer"));
    }
    if (run == RunState::run)
        settleDone(attempt.response().status, attempt.response().body);
    else if (run == RunState::notRun)
        settleNotRun();
    else
        settleUnknown();
    if (m_streamStarted) {
        m_exchange->responder->finish();
        return finish(code);
    }
    reply(attempt.response(), code);
}

void Dispatch::addCountsToPeer(Headers &headers, int runs) const
{
    if (!m_exchange->fromPeer)
        return;
    headers.add(std::string(runsHeader), std::to_string(runs));
    headers.add(std::string(attemptsHeader),
                std::to_string(m_exchange->previousAttempts + m_serverAttempts));
    headers.add(std::string(configVersionHeader), std::to_string(m_exchange->config().version));
}

void Dispatch::reply(HttpResponse response, ResultCode code)
{
    m_firstByteAt = m_state.clock.now();
    response.headers = m_protocol.makeResponseHeaders(*m_exchange, code, response.headers,
                                                      servedBy(response.headers));
    addCountsToPeer(response.headers, m_exchange->previousRuns + m_runs);
    m_statusSent = response.status;
    m_exchange->responder->reply(std::move(response));
    finish(code);
}

// Returns the code after a failed attempt. If an earlier attempt may have run, the code must not
// say that the request didn't run, whatever the last attempt shows.
ResultCode Dispatch::finalCode(AttemptOutcome outcome) const
{
    const bool late = remaining().count() <= 0;
    const bool isFalseNotRun = m_mayHaveRun && certainlyNotRun(outcome);
    return finalResultCode(isFalseNotRun ? AttemptOutcome::connectionLost : outcome,
                           m_exchange->service->idempotent, late);
}

void Dispatch::endAfterFailure(AttemptOutcome outcome)
{
    if (m_streamStarted)
        return abortStream(outcome);
    failRequest(outcome);
}

// Ends a stream early. The caller has part of the response and must see that the rest is missing.
void Dispatch::abortStream(AttemptOutcome outcome)
{
    const ResultCode code = finalCode(outcome);
    if (outcome != AttemptOutcome::callerLeft)
        logRetryDecision("Not retried.", attemptOutcomeName(outcome));
    m_exchange->responder->write(m_protocol.makeStreamError(*m_exchange, code, servedBy({})));
    m_exchange->responder->abort();
    settleUnknown();
    finish(code);
}

void Dispatch::failRequest(AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::callerLeft) {
        settleUnknown();
        return finish(ResultCode::callerLeft);
    }
    logRetryDecision("Not retried.", attemptOutcomeName(outcome));
    // The issuer cannot be reached. It may have sent a booking with this key before, so the result
    // must not be "not run".
    if (m_forwardedToIssuer && certainlyNotRun(outcome))
        return refuse({ResultCode::issuerGone, "", {}});
    const ResultCode code = finalCode(outcome);
    const bool notRun = resultInfo(code).runState == RunState::notRun;
    if (notRun)
        settleNotRun();
    else
        settleUnknown();
    const bool mayRetry = m_exchange->service->idempotent || notRun;
    if (m_isCut)
        return refuse({code, "", mayRetry ? stoppingRefusal().retryAfter : Duration(0)});
    refuse(
        {code, "", mayRetry ? retryAfterWithoutServer(*m_state.routing.read(), 1) : Duration(0)});
}

void Dispatch::refuse(const Refusal &wanted)
{
    Refusal refusal = wanted;
    // An earlier attempt of this request may have run. A refusal that holds for the last attempt
    // only would tell the caller that the request did not run at all.
    if (m_mayHaveRun && resultInfo(refusal.code).runState == RunState::notRun)
        refusal.code = m_exchange->service->idempotent ? ResultCode::backendFailed
                                                       : ResultCode::outcomeUnknown;
    // The headers of a stream were sent, so no other response can follow on this connection.
    if (m_streamStarted) {
        trace("stream aborted: " + std::string(resultInfo(refusal.code).name));
        logRetryDecision("Not resumed.", resultInfo(wanted.code).name);
        m_exchange->responder->abort();
        settleUnknown();
        return finish(resultInfo(refusal.code).runState == RunState::notRun
                          ? ResultCode::answerCutShort
                          : refusal.code);
    }
    // A server's error response is more useful to the caller than a general refusal.
    if (m_serverError) {
        settleUnknown();
        return reply(*std::exchange(m_serverError, std::nullopt), ResultCode::backendFailed);
    }
    trace("refused: " + std::string(resultInfo(refusal.code).name));
    HttpResponse response = m_protocol.makeRefusal(*m_exchange, refusal, servedBy({}));
    if (refusal.code == ResultCode::stopping)
        response.headers.add("X-Entry-Instances", otherInstanceAddresses(m_state));
    addCountsToPeer(response.headers, m_exchange->previousRuns + m_runs);
    m_statusSent = response.status;
    m_exchange->responder->reply(std::move(response));
    finish(refusal.code);
}

void Dispatch::finish(ResultCode code)
{
    const TimePoint now = m_state.clock.now();
    const Exchange &exchange = *m_exchange;
    if (m_admitted)
        m_state.admission.onFinished(exchange.customer->name, exchange.service->name);
    m_admitted = false;
    // A request that did not run doesn't count against the customer's usage cap.
    const bool hasRun = m_attempts > 0 && resultInfo(code).runState != RunState::notRun;
    if (exchange.usageCounted > 0 && !hasRun)
        m_state.usageCaps.release(exchange.customer->name, exchange.usageCounted, now);
    RequestRecord record;
    record.service = exchange.service->name;
    record.customer = exchange.customer->name;
    record.code = code;
    record.total = now - exchange.arrived;
    record.firstByte = m_firstByteAt.value_or(now) - exchange.arrived;
    record.attempts = m_attempts;
    record.forwardedToRegion = m_forwardedToRegion;
    record.receivedFromPeer = exchange.fromPeer;
    record.cost = m_cost;
    const bool inTime = now <= exchange.deadline;
    const bool good = resultInfo(code).runState == RunState::run && inTime;
    record.worthDelivered = good ? exchange.service->worth : 0;
    m_state.metrics.onRequest(record);
    // Errors of the caller don't count against the service's error budget.
    constexpr int firstSystemCode = 3000;
    const bool isCallerError
        = static_cast<int>(code) < firstSystemCode && resultInfo(code).runState == RunState::notRun;
    if (!isCallerError && !exchange.fromPeer)
        m_state.burn.count(record.service, record.customer, !good, m_state.clock.wallNow());
    m_exchange->trace.resultCode = static_cast<int>(code);
    m_state.traces.add(m_exchange->trace);
    logFinished(code, good);
    m_hasFinished = true;
    --m_state.inFlight;
}

// Returns the inputs of the routing decision for the log, separated by ";":
// - "home:LOAD/SLOTS+DELAY" of the local region; the same for the other region that was chosen,
//   under its name, and for the chosen server, both with the age of the report, and "cold" with the
//   time that the server was still cold and "senders" with the instances that share its rate;
//   "slow" with the factor by which work takes longer there, "forecast:FIRST/GAP/END" with the
//   forecast of the first event, longest gap and end, and "full" if its memory was too small,
//   "kept:TOKENS/SURENESS" with the shared tokens that it was expected to keep, and the probability
//   that it keeps all of them;
// - "region:planned" if the regions' plan chose the region;
// - "pace:MEASURED/ACCEPTABLE", the interval between stream events where the request would run;
// - "list:REVISION,age" of the list of servers, and "looks" with the number of times that the
//   request waited for checks of possibly cold servers.
// Delays, ages and intervals are in milliseconds.
std::string Dispatch::routeInputsText() const
{
    constexpr double toMs = 1000;
    const RegionLoad &local = m_routeInputs.localLoad;
    std::string text = fmt::format("home:{:.0f}/{:.0f}+{:.0f}", local.outstanding, local.slots,
                                   local.readDelaySeconds * toMs);
    if (const auto &remote = m_routeInputs.remoteLoad)
        text += fmt::format(";{}:{:.0f}/{:.0f}+{:.0f},age:{}", remote->region, remote->outstanding,
                            remote->slots, remote->readDelaySeconds * toMs, remote->ageMs);
    if (m_routeInputs.byPlan)
        text += ";region:planned";
    const double measured = m_routeInputs.remoteLoad
        ? m_routeInputs.remoteLoad->eventIntervalSeconds
        : local.eventIntervalSeconds;
    if (measured > 0 && m_routeInputs.maxEventIntervalSeconds > 0)
        text += fmt::format(";pace:{:.0f}/{:.0f}", measured * toMs,
                            m_routeInputs.maxEventIntervalSeconds * toMs);
    if (m_routeInputs.serverSlots > 0)
        text += fmt::format(";server:{:.0f}/{:.0f}+{:.0f},age:{}", m_routeInputs.serverLoad,
                            m_routeInputs.serverSlots, m_routeInputs.serverDelay * toMs,
                            m_routeInputs.reportAge ? millisecondsText(*m_routeInputs.reportAge)
                                                    : "never");
    if (m_routeInputs.serverSlowdown != 1)
        text += fmt::format(",slow:{:.2f}", m_routeInputs.serverSlowdown);
    if (const auto &forecast = m_routeInputs.forecast)
        text += fmt::format(",forecast:{:.0f}/{:.0f}/{:.0f}{}", forecast->firstEventSeconds * toMs,
                            forecast->longestGapSeconds * toMs, forecast->endSeconds * toMs,
                            forecast->fitsMemory ? "" : ",full");
    if (const auto &prefix = m_routeInputs.prefix)
        text += fmt::format(",kept:{:.0f}/{:.2f}", prefix->keptTokens, prefix->sureness);
    if (m_routeInputs.remainingColdTime)
        text += fmt::format(",cold:{},senders:{}",
                            millisecondsText(*m_routeInputs.remainingColdTime),
                            m_routeInputs.senders);
    if (m_routeInputs.listAge)
        text += fmt::format(";list:{},age:{}", revisionText(m_routeInputs.listRevision),
                            millisecondsText(*m_routeInputs.listAge));
    if (!m_routeInputs.refusal.empty())
        text += ";" + m_routeInputs.refusal;
    if (m_coldCheckWaits > 0)
        text += fmt::format(",looks:{}", m_coldCheckWaits);
    return text;
}

// Returns how long ago the caller left, which is how long its request went on without it.
std::string Dispatch::callerGoneText() const
{
    const TimePoint leftAt = *m_callerLeftAt;
    return leftAt == TimePoint{} ? "none" : millisecondsText(m_state.clock.now() - leftAt);
}

void Dispatch::logFinished(ResultCode code, bool good) const
{
    const Exchange &exchange = *m_exchange;
    const TimePoint now = m_state.clock.now();
    logLine(
        LogPart::request, good ? LogLevel::info : LogLevel::warn, "Request over.",
        {{"request", exchange.id},
         {"customer", exchange.customer->name},
         {"service", exchange.service->name},
         {"code", std::to_string(static_cast<int>(code))},
         {"status", std::to_string(m_statusSent)},
         {"attempts", std::to_string(m_attempts)},
         {"server", m_servedBy},
         {"transfer", m_lastTransfer},
         {"firstMs", m_firstByteAt ? millisecondsText(*m_firstByteAt - exchange.arrived) : "none"},
         {"ms", millisecondsText(now - exchange.arrived)},
         {"unreadMs", millisecondsText(exchange.unread)},
         {"leftMs", millisecondsText(remaining())},
         {"callerGoneMs", callerGoneText()},
         {"sender", senderName(exchange)},
         {"configVersion", std::to_string(exchange.config().version)},
         {"senderVersion", std::to_string(exchange.forwarderVersion)},
         {"peerVersion", std::to_string(m_peerVersion)},
         {"answerLoad",
          m_responseLoad ? fmt::format("{}/{}", m_responseLoad->running, m_responseLoad->waiting)
                         : "none"},
         {"tokens",
          fmt::format("{}/{}", m_exchange->prompt.tokens, m_exchange->prompt.sharedTokens())},
         {"by", routeInputsText()}});
}

} // namespace ibisnotch
