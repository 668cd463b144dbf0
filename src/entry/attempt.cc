#include "attempt.h"

#include <absl/strings/numbers.h>

namespace ibisnotch {

namespace {

constexpr std::size_t largestKept = 1U << 20;
constexpr std::size_t largestPending = 1U << 20;
constexpr int firstServerError = 500;

} // namespace

Dispatch::Attempt::Attempt(std::shared_ptr<Dispatch> dispatch, Target target, AnswerForm form)
    : m_dispatch(std::move(dispatch)), m_target(std::move(target)),
      m_check(m_dispatch->m_exchange->id, form), m_form(form)
{
}

bool Dispatch::Attempt::stop(AttemptEnd end)
{
    m_stoppedAs = end;
    return false;
}

std::optional<AttemptEnd> Dispatch::Attempt::judgeServerStatus(int status,
                                                               const Headers &headers) const
{
    if (headers.get("X-Not-Run"))
        return AttemptEnd::refusedNotRun;
    if (status >= firstServerError)
        return AttemptEnd::serverError;
    return std::nullopt;
}

bool Dispatch::Attempt::onHead(int status, const Headers &headers)
{
    if (!m_target.away && headers.get("X-Engine-Draining"))
        m_dispatch->m_state.servers.onOwnWord(m_target.name);
    if (m_check.onHead(status, headers) != AnswerVerdict::good)
        return stop(AttemptEnd::notOurs);
    m_answer.status = status;
    for (const char *name : {"Content-Type", "Retry-After", "X-Served-By"}) {
        if (const auto value = headers.get(name))
            m_answer.headers.add(name, *value);
    }
    const std::string type = headers.get("Content-Type").value_or("");
    m_eventStream = m_form == AnswerForm::eventStream && type.rfind("text/event-stream", 0) == 0;
    if (m_target.away) {
        int code = 0;
        if (absl::SimpleAtoi(headers.get("X-Result-Code").value_or(""), &code))
            m_code = static_cast<ResultCode>(code);
        return true;
    }
    if (const auto bad = judgeServerStatus(status, headers))
        return stop(*bad);
    return true;
}

void Dispatch::Attempt::startStream()
{
    Exchange &exchange = *m_dispatch->m_exchange;
    Headers headers
        = answerHeaders(exchange.id, ResultCode::served, m_dispatch->servedBy(m_answer.headers));
    headers.add("Content-Type", m_answer.headers.get("Content-Type").value_or("text/plain"));
    exchange.responder->start(m_answer.status, headers);
    m_streamed = true;
    m_dispatch->m_firstByte = m_dispatch->m_state.clock.now();
}

bool Dispatch::Attempt::onData(std::string_view data)
{
    std::string passed;
    const AnswerVerdict verdict = m_check.onData(data, passed);
    if (verdict != AnswerVerdict::good)
        return stop(verdict == AnswerVerdict::notOurs ? AttemptEnd::notOurs : AttemptEnd::cutShort);
    if (passed.empty())
        return true;
    if (!m_eventStream && !m_streamed) {
        m_answer.body += passed;
        if (m_answer.body.size() <= largestKept)
            return true;
        // Too long to keep whole; from here on a failure shows as a connection that ends early.
        passed = std::move(m_answer.body);
        m_answer.body.clear();
    }
    if (!m_streamed)
        startStream();
    m_dispatch->m_exchange->responder->write(std::move(passed));
    return !m_dispatch->m_exchange->responder->closed();
}

bool Dispatch::Attempt::congested() const
{
    return m_streamed && m_dispatch->m_exchange->responder->pendingBytes() > largestPending;
}

AttemptEnd Dispatch::Attempt::endOf(const TransferResult &result) const
{
    if (m_stoppedAs)
        return *m_stoppedAs;
    switch (result.end) {
    case TransferEnd::complete:
        return m_check.whole() ? AttemptEnd::answered : AttemptEnd::cutShort;
    case TransferEnd::refusedByPeer:
        return AttemptEnd::notConnected;
    case TransferEnd::timedOut:
        return AttemptEnd::silent;
    case TransferEnd::brokenOff:
    case TransferEnd::cancelled:
        return AttemptEnd::brokenOff;
    }
    return AttemptEnd::brokenOff;
}

void Dispatch::Attempt::onEnd(const TransferResult &result)
{
    // The dispatch is kept by this object, and this object by the client until it returns.
    m_dispatch->onAttemptEnd(m_target, endOf(result), *this);
}

} // namespace ibisnotch
