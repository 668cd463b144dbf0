#include "ibisnotch/retry.h"

#include <algorithm>

namespace ibisnotch {

std::string_view attemptOutcomeName(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::answered:
        return "answered";
    case AttemptOutcome::notConnected:
        return "not connected";
    case AttemptOutcome::refusedNotRun:
        return "refused, not run";
    case AttemptOutcome::otherServer:
        return "another server";
    case AttemptOutcome::rejected:
        return "refused for good";
    case AttemptOutcome::connectionLost:
        return "broken off";
    case AttemptOutcome::silent:
        return "silent";
    case AttemptOutcome::truncated:
        return "cut short";
    case AttemptOutcome::mismatched:
        return "answer of another request";
    case AttemptOutcome::serverError:
        return "server error";
    case AttemptOutcome::callerLeft:
        return "caller left";
    }
    return "";
}

bool certainlyNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::notConnected || outcome == AttemptOutcome::refusedNotRun
        || outcome == AttemptOutcome::otherServer || outcome == AttemptOutcome::rejected;
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

bool RetryBudget::tryAcquire(const std::string &customer, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    double &left = tokens(customer, service);
    if (left < 1)
        return false;
    left -= 1;
    return true;
}

bool RetryBudget::canAcquire(const std::string &customer, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    return tokens(customer, service) >= 1;
}

RetryDecision decideRetry(const RetryInput &input)
{
    const bool final = input.outcome == AttemptOutcome::answered
        || input.outcome == AttemptOutcome::rejected || input.outcome == AttemptOutcome::callerLeft;
    if (final || input.runsMade >= input.maxRuns)
        return RetryDecision::abandon;
    if (input.callerHasSeenBytes || input.attemptsMade >= maxAttempts)
        return RetryDecision::abandon;
    if (input.remaining < input.expected)
        return RetryDecision::abandon;
    // A booking whose outcome is unknown must not be sent again: the backend server may have acted
    // on it, and a second caterer would be paid. Only a certain "not run" lets it go elsewhere.
    if (!input.idempotent && !certainlyNotRun(input.outcome))
        return RetryDecision::abandon;
    return RetryDecision::retry;
}

ResultCode finalResultCode(AttemptOutcome outcome, bool idempotent, bool deadlineExpired)
{
    if (certainlyNotRun(outcome))
        return idempotent ? ResultCode::noBackendServer : ResultCode::bookingNotRun;
    if (outcome == AttemptOutcome::callerLeft)
        return ResultCode::callerLeft;
    if (!idempotent)
        return ResultCode::outcomeUnknown;
    if (deadlineExpired)
        return ResultCode::deadlineExceeded;
    switch (outcome) {
    case AttemptOutcome::truncated:
    case AttemptOutcome::silent:
        return ResultCode::answerCutShort;
    case AttemptOutcome::mismatched:
        return ResultCode::answerNotOurs;
    default:
        return ResultCode::backendFailed;
    }
}

} // namespace ibisnotch
