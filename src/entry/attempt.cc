#include "attempt.h"

#include <utility>

#include "ibisnotch/silence.h"
#include "ibisnotch/stream-statistics.h"

namespace ibisnotch {

namespace {

constexpr std::size_t maxBufferedBytes = 1U << 20;
constexpr std::size_t maxPendingBytes = 1U << 20;
// A pause that lasts longer is recorded, once for each attempt.
constexpr Duration recordedPause = std::chrono::seconds(1);

bool isSuccess(int status)
{
    constexpr int firstSuccess = 200;
    constexpr int firstRedirect = 300;
    return status >= firstSuccess && status < firstRedirect;
}

} // namespace

Dispatch::Attempt::Attempt(std::shared_ptr<Dispatch> dispatch, Target target, ServerTrial trial,
                           std::unique_ptr<ResponseReader> reader)
    : m_dispatch(std::move(dispatch)), m_target(std::move(target)), m_trial(std::move(trial)),
      m_reader(std::move(reader)), m_heldBody(m_dispatch->m_state.buffers.heldBytes()),
      m_lastReceivedAt(m_dispatch->m_state.clock.now())
{
    onBodySent(0);
}

bool Dispatch::Attempt::stopWith(AttemptOutcome outcome)
{
    m_earlyOutcome = outcome;
    return false;
}

bool Dispatch::Attempt::onHead(int status, const Headers &headers)
{
    m_response.status = status;
    m_response.headers = headers;
    const auto outcome = m_reader->onHead(status, headers);
    m_lastReceivedAt = m_dispatch->m_state.clock.now();
    // What the answer to another request says of its server may be long past.
    if (outcome != AttemptOutcome::mismatched)
        m_dispatch->onServerResponse(m_target, *m_reader);
    return outcome ? stopWith(*outcome) : true;
}

void Dispatch::Attempt::onBodySent(std::size_t sent)
{
    if (const auto &body = m_dispatch->m_exchange->sentBody)
        body->onProgress(sent);
}

bool Dispatch::Attempt::onData(std::string_view data)
{
    std::string passed;
    m_lastReceivedAt = m_dispatch->m_state.clock.now();
    if (m_target.counters)
        recordReceived(*m_target.counters, m_lastReceivedAt);
    const auto outcome = m_reader->onData(data, passed);
    recordEventInterval();
    const bool begins = !m_hasBegun && isSuccess(m_response.status) && !passed.empty();
    m_hasBegun = m_hasBegun || begins;
    if (begins && !m_target.isPeer)
        m_dispatch->onAnswerBegun();
    if (!outcome && !passed.empty() && !m_reader->isStreaming() && !m_exceedsBuffer) {
        m_response.body += passed;
        countHeld();
        if (m_response.body.size() <= bufferBound())
            return true;
        // It can't continue the stream of which the caller has a part, whatever follows, and no
        // part of a false promise may reach the caller.
        if (m_dispatch->m_streamStarted || m_dispatch->isFalsePromise(*this)) {
            std::string().swap(m_response.body);
            countHeld();
            return stopWith(AttemptOutcome::serverError);
        }
        // From here on the caller sees a failure only as a connection that ends early.
        m_exceedsBuffer = true;
        passed = std::exchange(m_response.body, {});
        m_reader->onForwardedInPart();
    }
    countHeld();
    if (!passed.empty()) {
        m_hasWritten = true;
        m_dispatch->writeToCaller(*this, std::move(passed));
    }
    if (outcome)
        return stopWith(*outcome);
    // An event that isn't complete can't be passed on in part.
    if (m_reader->isStreaming() && isShortOfBuffers()
        && m_reader->heldBytes() > m_dispatch->m_state.buffers.limits().exchangeBytesWhenShort)
        return stopWith(AttemptOutcome::truncated);
    return !m_dispatch->m_exchange->responder->isClosed();
}

void Dispatch::Attempt::countHeld()
{
    const std::size_t body = m_response.body.empty() ? 0 : m_response.body.capacity();
    m_heldBody.set(body + m_reader->heldBytes());
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
    if (!m_dispatch->m_streamStarted)
        return false;
    const std::size_t pending = m_dispatch->m_exchange->responder->pendingBytes();
    const BufferAccounts &buffers = m_dispatch->m_state.buffers;
    if (!buffers.isEnabled())
        return pending > maxPendingBytes;
    const TimePoint now = m_dispatch->m_state.clock.now();
    const bool isPaused = m_pacer.shouldPause(buffers.limits(), pending, *buffers.heldBytes(), now);
    if (isPaused && !m_pauseRecorded && now - m_pacer.pausedSince() >= recordedPause) {
        m_pauseRecorded = true;
        m_dispatch->recordPause(m_target, pending);
    }
    return isPaused;
}

bool Dispatch::Attempt::isShortOfBuffers() const
{
    const BufferAccounts &buffers = m_dispatch->m_state.buffers;
    return buffers.isEnabled()
        && ibisnotch::isShortOfBuffers(buffers.limits(), *buffers.heldBytes());
}

// An answer that is written before it is complete is held only as far as its caller reads slowly.
std::size_t Dispatch::Attempt::bufferBound() const
{
    return isShortOfBuffers() ? m_dispatch->m_state.buffers.limits().exchangeBytesWhenShort
                              : maxBufferedBytes;
}

AttemptOutcome Dispatch::Attempt::outcomeOf(const TransferResult &result) const
{
    if (m_earlyOutcome)
        return *m_earlyOutcome;
    if (m_dispatch->m_serverReadsSlowly && result.outcome == TransferOutcome::cancelled)
        return AttemptOutcome::silent;
    if (m_dispatch->m_exchange->responder->isClosed()
        && result.outcome != TransferOutcome::complete)
        return AttemptOutcome::callerLeft;
    if (m_dispatch->m_isCut && result.outcome == TransferOutcome::cancelled)
        return AttemptOutcome::cutByStop;
    switch (result.outcome) {
    case TransferOutcome::complete:
        return m_reader->outcome();
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
    m_transfer = result;
    // The HTTP client keeps this object, and this object the dispatch, alive until onEnd() returns.
    m_dispatch->onAttemptFinished(m_target, outcomeOf(result), *this);
}

} // namespace ibisnotch
