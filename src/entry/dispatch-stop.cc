// Dispatch: requests of an instance that stops.
#include <fmt/format.h>

#include "attempt.h"
#include "dispatch.h"
#include "ibisnotch/log.h"
#include "ibisnotch/planned-stop.h"

namespace ibisnotch {

namespace {

constexpr Duration cutInterval = std::chrono::milliseconds(20);

} // namespace

Duration Dispatch::typicalRun() const
{
    const Service &service = *m_exchange->service;
    const bool mayBeResumed = service.isResumable || !service.isStreaming;
    if (mayBeResumed)
        return minAttemptTime();
    const std::chrono::duration<double> streaming(
        m_state.engineStatistics.meanEvents(service.name)
        * m_state.engineStatistics.facts(loadKey(*m_exchange)).meanEventSeconds);
    return minAttemptTime() + std::chrono::duration_cast<Duration>(streaming);
}

bool Dispatch::passesStop()
{
    if (!m_state.stopping)
        return true;
    const Duration untilEnd = m_state.cutsRequestsAt.load() - m_state.clock.now();
    const Duration expected = typicalRun();
    if (canEndBeforeStop({untilEnd, remaining(), expected, m_exchange->service->idempotent}))
        return true;
    const Refusal refusal = stoppingRefusal();
    logLine(LogPart::request, LogLevel::info, "Not sent.",
            {{"request", m_exchange->id},
             {"code", std::to_string(static_cast<int>(refusal.code))},
             {"by",
              fmt::format("stopsInMs:{},expectedMs:{}", millisecondsText(untilEnd),
                          millisecondsText(expected))}});
    settleNotRun();
    refuse(refusal);
    return false;
}

void Dispatch::cut()
{
    m_client.post([self = shared_from_this()] { self->cutNow(); });
}

void Dispatch::cutNow()
{
    if (m_hasFinished)
        return;
    m_isCut = true;
    trace("cut by the stop of the instance");
    // Another attempt may begin before the stop is seen everywhere.
    m_client.postAfter(cutInterval, [self = shared_from_this()] { self->cutNow(); });
    if (const auto attempt = m_currentAttempt.lock())
        return m_client.cancel(attempt);
    settleNotRun();
    refuse(stoppingRefusal("cut"));
}

} // namespace ibisnotch
