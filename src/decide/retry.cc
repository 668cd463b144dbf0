#include "ibisnotch/retry.h"

#include <algorithm>

namespace ibisnotch {

std::string_view attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::answered:
        return "answered";
    case AttemptEnd::notConnected:
        return "not connected";
    case AttemptEnd::refusedNotRun:
        return "refused, not run";
    case AttemptEnd::otherServer:
        return "another server";
    case AttemptEnd::refusedForGood:
        return "refused for good";
    case AttemptEnd::brokenOff:
        return "broken off";
    case AttemptEnd::silent:
        return "silent";
    case AttemptEnd::cutShort:
        return "cut short";
    case AttemptEnd::notOurs:
        return "answer of another request";
    case AttemptEnd::serverError:
        return "server error";
    case AttemptEnd::callerLeft:
        return "caller left";
    }
    return "";
}

bool certainlyNotRun(AttemptEnd end)
{
    return end == AttemptEnd::notConnected || end == AttemptEnd::refusedNotRun
        || end == AttemptEnd::otherServer || end == AttemptEnd::refusedForGood;
}

double &RetryBudget::tokens(const std::string &customer, const std::string &service)
{
    // The bound that all instances keep together is one for all customers.
    const double first = m_shared ? 0 : m_burst;
    return m_tokens.try_emplace({m_shared ? "" : customer, service}, first).first->second;
}

void RetryBudget::setBurst(double burst)
{
    const std::lock_guard lock(m_mutex);
    m_burst = burst;
    m_shared = true;
    for (auto &[key, left] : m_tokens)
        left = std::min(left, burst);
}

void RetryBudget::onRequest(const std::string &customer, const std::string &service,
                            double retryShare)
{
    const std::lock_guard lock(m_mutex);
    double &left = tokens(customer, service);
    left = std::min(m_burst, left + retryShare);
}

bool RetryBudget::take(const std::string &customer, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    double &left = tokens(customer, service);
    if (left < 1)
        return false;
    left -= 1;
    return true;
}

bool RetryBudget::has(const std::string &customer, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    return tokens(customer, service) >= 1;
}

RetryAnswer mayRetry(const RetryQuestion &question)
{
    const bool final = question.end == AttemptEnd::answered
        || question.end == AttemptEnd::refusedForGood || question.end == AttemptEnd::callerLeft;
    if (final || question.runsMade >= question.mostRuns)
        return RetryAnswer::giveUp;
    if (question.callerHasSeenBytes || question.attemptsMade >= mostAttempts)
        return RetryAnswer::giveUp;
    if (question.remaining < question.expected)
        return RetryAnswer::giveUp;
    // A booking whose outcome is unknown must not be sent again: the backend server may have acted
    // on it, and a second caterer would be paid. Only a certain "not run" lets it go elsewhere.
    if (!question.idempotent && !certainlyNotRun(question.end))
        return RetryAnswer::giveUp;
    return RetryAnswer::retry;
}

ResultCode finalCode(AttemptEnd end, bool idempotent, bool deadlineOver)
{
    if (certainlyNotRun(end))
        return idempotent ? ResultCode::noBackendServer : ResultCode::bookingNotRun;
    if (end == AttemptEnd::callerLeft)
        return ResultCode::callerLeft;
    if (!idempotent)
        return ResultCode::outcomeUnknown;
    if (deadlineOver)
        return ResultCode::deadlineExceeded;
    switch (end) {
    case AttemptEnd::cutShort:
    case AttemptEnd::silent:
        return ResultCode::answerCutShort;
    case AttemptEnd::notOurs:
        return ResultCode::answerNotOurs;
    default:
        return ResultCode::backendFailed;
    }
}

} // namespace ibisnotch
