#include "ibisnotch/admission.h"

#include <algorithm>

namespace ibisnotch {

namespace {

constexpr double shortestPause = 1;
constexpr double longestPause = 60;
constexpr double shareSlack = 1.25;
// Some have to come through to show that a peak is over.
constexpr double mostTurnedAway = 0.85;

// How full the queue may be for a service: less urgent ones and those worth less give way first, so
// that what is left of the queue goes to the others.
double queueLimit(const AdmissionQuestion &question)
{
    constexpr double perPriority = 0.05;
    constexpr double worthlessPart = 0.3;
    const double byPriority = 1 - perPriority * question.priority;
    double byWorth = 1;
    if (question.highestWorth > 0) {
        const double share = std::min(1.0, question.service->worth / question.highestWorth);
        byWorth = worthlessPart + (1 - worthlessPart) * share;
    }
    return 1 + (question.queueFactor - 1) * byPriority * byWorth;
}

// The part of the requests to turn away while first tokens come late. Engines read prompts one
// after the other, so once more come than they can read, all of them come late.
double partTurnedAway(double firstSeconds, double targetSeconds)
{
    constexpr double begins = 0.6; // of the target
    constexpr double whole = 1.4;
    if (firstSeconds <= 0 || targetSeconds <= 0)
        return 0;
    const double pressure = firstSeconds / targetSeconds;
    return std::clamp((pressure - begins) / (whole - begins), 0.0, mostTurnedAway);
}

// The part to turn away while streams are too slow for long answers to end. The least urgent
// service gives way first, and each more urgent one only under more pressure: turned away all
// alike, prompts that cost little and are urgent made room for those that cost most.
double partTooSlow(const AdmissionQuestion &question)
{
    // Of what streams bear, below the whole: the pace is the average of servers of which some are
    // slower.
    constexpr double begins = 0.85;
    constexpr double whole = 1.85;
    constexpr double perService = 0.5;
    if (question.bearableSeconds <= 0)
        return 0;
    const double pressure = question.eventIntervalSeconds / question.bearableSeconds;
    const double from = begins + perService * question.lessUrgent;
    return std::clamp((pressure - from) / (whole - begins), 0.0, mostTurnedAway);
}

} // namespace

Duration spreadRetryAfter(double waitSeconds, Random &random)
{
    const double base = std::clamp(waitSeconds, shortestPause, longestPause);
    const double spread = base * (1 + random.uniform());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(spread));
}

bool Admission::overShare(const AdmissionQuestion &question)
{
    const std::lock_guard lock(m_mutex);
    auto &customers = m_usage[question.service->name];
    double shares = 0;
    int total = 0;
    for (const auto &[name, usage] : customers) {
        if (usage.inFlight == 0 && name != question.customer->name)
            continue;
        shares += usage.share;
        total += usage.inFlight;
    }
    const Usage &own = customers[question.customer->name];
    if (own.inFlight == 0)
        return false;
    const double fair = total * question.customer->share / std::max(shares, 0.01);
    return own.inFlight + 1 > fair * shareSlack + 1;
}

AdmissionAnswer Admission::ask(const AdmissionQuestion &question, Random &random)
{
    const double expected = seconds(question.service->expectedDuration);
    const double wait = waitSeconds(question.slots, question.outstanding, expected);
    if (question.slots <= 0)
        return {ResultCode::noBackendServer, spreadRetryAfter(shortestPause, random)};
    const double fill = question.outstanding / question.slots;
    const double remaining = seconds(question.remaining);
    const double needed = seconds(question.way) + wait + expected;
    // Where a late answer counts as undelivered, running it would only make the next one late too.
    if (needed > remaining && (question.lateIsUndelivered || wait > 0))
        return {ResultCode::deadlineTooShort, spreadRetryAfter(wait, random)};
    const double first = question.firstDelay > 0 ? question.firstDelay + seconds(question.way) : 0;
    const double part = std::max(partTurnedAway(first, seconds(question.service->targetLatency)),
                                 partTooSlow(question));
    if (question.draw < part)
        return {ResultCode::overloaded, spreadRetryAfter(std::max(first, remaining / 6), random)};
    if (fill < 1)
        return {ResultCode::served, {}};
    if (overShare(question))
        return {ResultCode::customerOverShare, spreadRetryAfter(wait, random)};
    const double limit = queueLimit(question);
    if (fill >= limit)
        return {ResultCode::overloaded, spreadRetryAfter(wait, random)};
    return {ResultCode::served, {}};
}

void Admission::onTaken(const std::string &customer, const std::string &service, double share)
{
    const std::lock_guard lock(m_mutex);
    Usage &usage = m_usage[service][customer];
    ++usage.inFlight;
    usage.share = share;
}

void Admission::onOver(const std::string &customer, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    auto &customers = m_usage[service];
    Usage &usage = customers[customer];
    if (--usage.inFlight <= 0)
        customers.erase(customer);
}

} // namespace ibisnotch
