#include "attempt.h"

#include "ibisnotch/silence.h"
#include "ibisnotch/stream-statistics.h"

namespace ibisnotch {

namespace {

constexpr std::size_t maxBufferedBody = 1U << 20;
constexpr std::size_t maxPendingToCaller = 1U << 20;

} // namespace

Dispatch::Attempt::Attempt(std::shared_ptr<Dispatch> dispatch, Target target,
                           std::unique_ptr<ResponseReader> reader)
    : m_dispatch(std::move(dispatch)), m_target(std::move(target)), m_reader(std::move(reader)),
      m_lastReceivedAt(m_dispatch->m_state.clock.now())
{
}

bool Dispatch::Attempt::stopWith(AttemptOutcome end)
{
    m_stoppedWith = end;
    return false;
}

bool Dispatch::Attempt::onHead(int status, const Headers &headers)
{
    m_answer.status = status;
    m_answer.headers = headers;
    const auto end = m_reader->onHead(status, headers);
    m_lastReceivedAt = m_dispatch->m_state.clock.now();
    m_dispatch->onServerResponse(m_target, *m_reader);
    return end ? stopWith(*end) : true;
}

bool Dispatch::Attempt::onData(std::string_view data)
{
    std::string passed;
    m_lastReceivedAt = m_dispatch->m_state.clock.now();
    if (m_target.counters)
        recordReceived(*m_target.counters, m_lastReceivedAt);
    const auto end = m_reader->onData(data, passed);
    recordEventInterval();
    if (!end && !passed.empty() && !m_reader->isStreaming() && !m_exceedsBuffer) {
        m_answer.body += passed;
        if (m_answer.body.size() <= maxBufferedBody)
            return true;
        // From here on the caller sees a failure only as a connection that ends early.
        m_exceedsBuffer = true;
        passed = std::move(m_answer.body);
        m_answer.body.clear();
    }
    if (!passed.empty())
        m_dispatch->writeToCaller(m_answer, std::move(passed));
    if (end)
        return stopWith(*end);
    return !m_dispatch->m_exchange->responder->isClosed();
}

// The first event arrives after the prompt is read and doesn't show the interval between events.
void Dispatch::Attempt::recordEventInterval()
{
    const int events = m_reader->eventCount() - m_eventsRecorded;
    if (events <= 0 || !m_target.counters)
        return;
    if (m_eventsRecorded > 0)
        recordEvents(*m_target.counters, events, m_lastReceivedAt - m_lastEventAt,
                     m_lastReceivedAt);
    m_eventsRecorded += events;
    m_lastEventAt = m_lastReceivedAt;
}

bool Dispatch::Attempt::keepsWaiting()
{
    return m_dispatch->shouldKeepWaiting(m_target, *m_reader, m_lastReceivedAt);
}

bool Dispatch::Attempt::isCongested() const
{
    return m_dispatch->m_streamStarted
        && m_dispatch->m_exchange->responder->pendingBytes() > maxPendingToCaller;
}

AttemptOutcome Dispatch::Attempt::attemptEndOf(const TransferResult &result) const
{
    if (m_stoppedWith)
        return *m_stoppedWith;
    if (m_dispatch->m_exchange->responder->isClosed()
        && result.outcome != TransferOutcome::complete)
        return AttemptOutcome::callerLeft;
    switch (result.outcome) {
    case TransferOutcome::complete:
        return m_reader->attemptEnd();
    case TransferOutcome::notConnected:
        return AttemptOutcome::notConnected;
    case TransferOutcome::timedOut:
        return AttemptOutcome::silent;
    case TransferOutcome::connectionLost:
    case TransferOutcome::cancelled:
        return AttemptOutcome::connectionLost;
    }
    return AttemptOutcome::connectionLost;
}

void Dispatch::Attempt::onEnd(const TransferResult &result)
{
    // The HTTP client keeps this object, and this object the dispatch, alive until onEnd() returns.
    m_dispatch->onAttemptEnd(m_target, attemptEndOf(result), *this);
}

} // namespace ibisnotch
