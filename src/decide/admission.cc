#include "ibisnotch/admission.h"

#include <algorithm>

namespace ibisnotch {

namespace {

constexpr double minRetryAfterSeconds = 1;
constexpr double maxRetryAfterSeconds = 60;
constexpr double shareTolerance = 1.25; // factor by which a customer may exceed its share
// Some requests must be accepted to show when a peak has ended.
constexpr double maxRejectedFraction = 0.85;

// Returns the number of outstanding requests per slot up to which a request is accepted. It is
// lower for less urgent requests and for services of less worth, so that the rest of the queue
// remains for the others.
double queueLimit(const AdmissionInput &input)
{
    constexpr double limitPerPriority = 0.05;
    constexpr double minWorthFactor = 0.3;
    const double byPriority = 1 - limitPerPriority * input.priority;
    double byWorth = 1;
    if (input.maxWorth > 0) {
        const double share = std::min(1.0, input.service->worth / input.maxWorth);
        byWorth = minWorthFactor + (1 - minWorthFactor) * share;
    }
    return 1 + (input.queueFactor - 1) * byPriority * byWorth;
}

// Returns the fraction of requests to reject because first tokens are late. Engines read prompts
// one after the other, so if more arrive than they can read, all first tokens are late.
double rejectedForReadDelay(double firstTokenSeconds, double targetSeconds)
{
    constexpr double startPressure = 0.6; // part of the target at which rejection starts
    constexpr double fullPressure = 1.4; // part at which all would be rejected
    if (firstTokenSeconds <= 0 || targetSeconds <= 0)
        return 0;
    const double pressure = firstTokenSeconds / targetSeconds;
    return std::clamp((pressure - startPressure) / (fullPressure - startPressure), 0.0,
                      maxRejectedFraction);
}

// Returns the fraction of requests to reject because streams are too slow for long answers to end
// in time. The least urgent service is rejected first, and each more urgent one only at a higher
// pressure. When all services were rejected equally, cheap urgent prompts were rejected in favour
// of the most expensive ones.
double rejectedForSlowStreams(const AdmissionInput &input)
{
    // Rejection starts below the highest acceptable interval, since the interval is a mean over
    // servers of which some are slower.
    constexpr double startPressure = 0.85;
    constexpr double fullPressure = 1.85;
    constexpr double pressurePerService = 0.5;
    if (input.maxEventIntervalSeconds <= 0)
        return 0;
    const double pressure = input.eventIntervalSeconds / input.maxEventIntervalSeconds;
    const double serviceStart = startPressure + pressurePerService * input.lessUrgentServices;
    return std::clamp((pressure - serviceStart) / (fullPressure - startPressure), 0.0,
                      maxRejectedFraction);
}

} // namespace

Duration jitteredRetryAfter(double waitSeconds, Random &random)
{
    const double base = std::clamp(waitSeconds, minRetryAfterSeconds, maxRetryAfterSeconds);
    const double jittered = base * (1 + random.uniform());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(jittered));
}

bool Admission::exceedsShare(const AdmissionInput &input)
{
    const std::lock_guard lock(m_mutex);
    auto &customers = m_usage[input.service->name];
    double shares = 0;
    int total = 0;
    for (const auto &[name, usage] : customers) {
        if (usage.inFlight == 0 && name != input.customer->name)
            continue;
        shares += usage.share;
        total += usage.inFlight;
    }
    const Usage &own = customers[input.customer->name];
    if (own.inFlight == 0)
        return false;
    const double fairShare = total * input.customer->share / std::max(shares, 0.01);
    return own.inFlight + 1 > fairShare * shareTolerance + 1;
}

AdmissionDecision Admission::decide(const AdmissionInput &input, Random &random)
{
    const double expected = seconds(input.service->expectedDuration);
    const double wait = waitSeconds(input.slots, input.outstanding, expected);
    if (input.slots <= 0)
        return {ResultCode::noBackendServer, jitteredRetryAfter(minRetryAfterSeconds, random)};
    const double outstandingPerSlot = input.outstanding / input.slots;
    const double remaining = seconds(input.remaining);
    const double needed = seconds(input.roundTrip) + wait + expected;
    // Running a request whose response is late and has no value would only delay the next ones.
    if (needed > remaining && (input.lateIsUndelivered || wait > 0))
        return {ResultCode::deadlineTooShort, jitteredRetryAfter(wait, random)};
    const double firstTokenSeconds = input.promptReadDelaySeconds > 0
        ? input.promptReadDelaySeconds + seconds(input.roundTrip)
        : 0;
    const double rejectedFraction
        = std::max(rejectedForReadDelay(firstTokenSeconds, seconds(input.service->targetLatency)),
                   rejectedForSlowStreams(input));
    if (input.rejectionDraw < rejectedFraction)
        return {ResultCode::overloaded,
                jitteredRetryAfter(std::max(firstTokenSeconds, remaining / 6), random)};
    if (outstandingPerSlot < 1)
        return {ResultCode::served, {}};
    if (exceedsShare(input))
        return {ResultCode::customerOverShare, jitteredRetryAfter(wait, random)};
    const double limit = queueLimit(input);
    if (outstandingPerSlot >= limit)
        return {ResultCode::overloaded, jitteredRetryAfter(wait, random)};
    return {ResultCode::served, {}};
}

void Admission::onAdmitted(const std::string &customer, const std::string &service, double share)
{
    const std::lock_guard lock(m_mutex);
    Usage &usage = m_usage[service][customer];
    ++usage.inFlight;
    usage.share = share;
}

void Admission::onFinished(const std::string &customer, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    auto &customers = m_usage[service];
    Usage &usage = customers[customer];
    if (--usage.inFlight <= 0)
        customers.erase(customer);
}

} // namespace ibisnotch
