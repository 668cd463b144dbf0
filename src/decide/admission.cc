#include "ibisnotch/admission.h"

#include <algorithm>

namespace ibisnotch {

namespace {

constexpr double minRetryAfterSeconds = 1;
constexpr double maxRetryAfterSeconds = 60;
constexpr double shareTolerance = 1.25;
// Some have to come through to show that a peak is over.
constexpr double maxRejectedFraction = 0.85;

// How full the queue may be for a service: less urgent ones and those worth less give way first, so
// that what is left of the queue goes to the others.
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

// The part of the requests to turn away while first tokens come late. Engines read prompts one
// after the other, so once more come than they can read, all of them come late.
double rejectedForReadDelay(double firstSeconds, double targetSeconds)
{
    constexpr double begins = 0.6; // of the target
    constexpr double whole = 1.4;
    if (firstSeconds <= 0 || targetSeconds <= 0)
        return 0;
    const double pressure = firstSeconds / targetSeconds;
    return std::clamp((pressure - begins) / (whole - begins), 0.0, maxRejectedFraction);
}

// The part to turn away while streams are too slow for long answers to end. The least urgent
// service gives way first, and each more urgent one only under more pressure: turned away all
// alike, prompts that cost little and are urgent made room for those that cost most.
double rejectedForSlowStreams(const AdmissionInput &input)
{
    // Of what streams bear, below the whole: the pace is the average of servers of which some are
    // slower.
    constexpr double begins = 0.85;
    constexpr double whole = 1.85;
    constexpr double pressurePerService = 0.5;
    if (input.maxEventIntervalSeconds <= 0)
        return 0;
    const double pressure = input.eventIntervalSeconds / input.maxEventIntervalSeconds;
    const double from = begins + pressurePerService * input.lessUrgentServices;
    return std::clamp((pressure - from) / (whole - begins), 0.0, maxRejectedFraction);
}

} // namespace

Duration jitteredRetryAfter(double waitSeconds, Random &random)
{
    const double base = std::clamp(waitSeconds, minRetryAfterSeconds, maxRetryAfterSeconds);
    const double spread = base * (1 + random.uniform());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(spread));
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
    const double fair = total * input.customer->share / std::max(shares, 0.01);
    return own.inFlight + 1 > fair * shareTolerance + 1;
}

AdmissionDecision Admission::decide(const AdmissionInput &input, Random &random)
{
    const double expected = seconds(input.service->expectedDuration);
    const double wait = waitSeconds(input.slots, input.outstanding, expected);
    if (input.slots <= 0)
        return {ResultCode::noBackendServer, jitteredRetryAfter(minRetryAfterSeconds, random)};
    const double fill = input.outstanding / input.slots;
    const double remaining = seconds(input.remaining);
    const double needed = seconds(input.roundTrip) + wait + expected;
    // Where a late answer counts as undelivered, running it would only make the next one late too.
    if (needed > remaining && (input.lateIsUndelivered || wait > 0))
        return {ResultCode::deadlineTooShort, jitteredRetryAfter(wait, random)};
    const double first = input.promptReadDelaySeconds > 0
        ? input.promptReadDelaySeconds + seconds(input.roundTrip)
        : 0;
    const double part = std::max(rejectedForReadDelay(first, seconds(input.service->targetLatency)),
                                 rejectedForSlowStreams(input));
    if (input.rejectionDraw < part)
        return {ResultCode::overloaded, jitteredRetryAfter(std::max(first, remaining / 6), random)};
    if (fill < 1)
        return {ResultCode::served, {}};
    if (exceedsShare(input))
        return {ResultCode::customerOverShare, jitteredRetryAfter(wait, random)};
    const double limit = queueLimit(input);
    if (fill >= limit)
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
