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
    case AttemptOutcome::cutByStop:
        return "cut by stop";
    }
    return "";
}

std::string_view mismatchCauseName(MismatchCause cause)
{
    switch (cause) {
    case MismatchCause::none:
        return "none";
    case MismatchCause::otherRequest:
        return "otherRequest";
    case MismatchCause::noRequest:
        return "noRequest";
    case MismatchCause::unsignedSuccess:
        return "unsignedSuccess";
    case MismatchCause::encoded:
        return "encoded";
    case MismatchCause::otherVersion:
        return "otherVersion";
    case MismatchCause::malformedEvents:
        return "malformedEvents";
    }
    return "";
}

bool isForeign(MismatchCause cause)
{
    return cause == MismatchCause::otherRequest || cause == MismatchCause::noRequest;
}

bool certainlyNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::notConnected || outcome == AttemptOutcome::refusedNotRun
        || outcome == AttemptOutcome::otherServer || outcome == AttemptOutcome::rejected;
}

double &RetryBudget::tokens(const std::string &customer, const std::string &service)
{
    // A shared limit applies to all customers together.
    const double initial = m_shared ? 0 : m_burst;
    return m_tokens.try_emplace({m_shared ? "" : customer, service}, initial).first->second;
}

void RetryBudget::setBurst(double burst)
{
    const std::lock_guard lock(m_mutex);
    m_burst = burst;
    m_shared = true;
    for (auto &[key, available] : m_tokens)
        available = std::min(available, burst);
}

void RetryBudget::onRequest(const std::string &customer, const std::string &service,
                            double retryShare)
{
    const std::lock_guard lock(m_mutex);
    double &available = tokens(customer, service);
    available = std::min(m_burst, available + retryShare);
}

bool RetryBudget::tryAcquire(const std::string &customer, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    double &available = tokens(customer, service);
    if (available < 1)
        return false;
    available -= 1;
    return true;
}

void RetryBudget::release(const std::string &customer, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    double &available = tokens(customer, service);
    available = std::min(m_burst, available + 1);
}

RetryDecision decideRetry(const RetryInput &input)
{
    const bool isFinal = input.outcome == AttemptOutcome::answered
        || input.outcome == AttemptOutcome::rejected || input.outcome == AttemptOutcome::callerLeft
        || input.outcome == AttemptOutcome::cutByStop;
    if (isFinal || input.runsMade >= input.maxRuns)
        return RetryDecision::abandon;
    if (input.callerHasSeenBytes || input.attemptsMade >= maxAttempts)
        return RetryDecision::abandon;
    if (input.remaining < input.expected)
        return RetryDecision::abandon;
    // A booking with an unknown outcome must not be sent again: the backend server may have acted
    // on it, and a second caterer would be paid. It is retried only if it certainly wasn't run.
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
    case AttemptOutcome::cutByStop:
        return ResultCode::answerCutShort;
    case AttemptOutcome::mismatched:
        return ResultCode::answerNotOurs;
    default:
        return ResultCode::backendFailed;
    }
}

} // namespace ibisnotch
