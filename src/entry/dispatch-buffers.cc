// Dispatch: callers and servers that read slowly.
#include "attempt.h"
#include "dispatch.h"
#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

constexpr Duration callerCheckInterval = std::chrono::milliseconds(150);

} // namespace

void Dispatch::onServerReadsSlowly()
{
    m_serverReadsSlowly = true;
    if (const auto attempt = m_currentAttempt.lock())
        m_client.cancel(attempt);
}

void Dispatch::recordPause(const Target &target, std::size_t held)
{
    m_state.metrics.onResponsePaused();
    logLine(LogPart::request, LogLevel::info, "Response paused.",
            {{"request", m_exchange->id},
             {"customer", m_exchange->customer->name},
             {"server", target.name},
             {"heldBytes", std::to_string(held)},
             {"totalBytes", std::to_string(*m_state.buffers.heldBytes())}});
}

// A server cuts off a stream that stays unread. Another one would send the rest to a caller that
// has not read what it has, be paused and cut off too, one run after the other.
bool Dispatch::waitForCaller(const Target &target, AttemptOutcome outcome)
{
    const BufferAccounts &buffers = m_state.buffers;
    const bool isHeldBack = buffers.isEnabled()
        && m_exchange->responder->pendingBytes() > buffers.limits().exchangeBytesWhenShort;
    if (!isHeldBack || !mayWaitToResume())
        return false;
    trace("waiting for the caller to read");
    m_client.postAfter(callerCheckInterval, [self = shared_from_this(), target, outcome] {
        const bool left = self->m_exchange->responder->isClosed();
        self->retryOrEnd(target, left ? AttemptOutcome::callerLeft : outcome);
    });
    return true;
}

} // namespace ibisnotch
