#include "ibisnotch/read-delay.h"

#include <algorithm>
#include <cmath>

namespace ibisnotch {

namespace {

// Tokens a millisecond, until an engine has shown better: what the deployments' engines reach while
// they also generate.
constexpr double usualRate = 30;
// Shorter prompts take a step or two whatever their length, and say nothing of the rate.
constexpr std::int64_t leastTokens = 500;
// An engine that slows down is believed after some hundred prompts.
constexpr double rateKept = 0.998;
// Of the smoothed wait, for each first token.
constexpr double delayKept = 0.7;
// A wait that no first token has confirmed for this long counts half.
constexpr double halfLifeSeconds = 1;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Duration fromMilliseconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

double rateOf(const ServerCounters &counters)
{
    return std::max(usualRate, counters.tokensPerMs.load());
}

double agedDelay(const ServerCounters &counters, TimePoint now)
{
    const TimePoint at{Duration(counters.delayAt.load())};
    const double age = std::chrono::duration<double>(now - at).count();
    return counters.delayMs * std::exp2(-std::max(0.0, age) / halfLifeSeconds);
}

} // namespace

// Two threads that note at the same moment may lose one sample of many, which does no harm.
void noteFirstToken(ServerCounters &counters, std::int64_t tokens, Duration taken, TimePoint now)
{
    const double ms = std::max(0.1, milliseconds(taken));
    if (tokens >= leastTokens)
        counters.tokensPerMs
            = std::max(counters.tokensPerMs * rateKept, static_cast<double>(tokens) / ms);
    const double waited = std::max(0.0, ms - static_cast<double>(tokens) / rateOf(counters));
    counters.delayMs = delayKept * agedDelay(counters, now) + (1 - delayKept) * waited;
    counters.delayAt = now.time_since_epoch().count();
}

Duration readDelay(const ServerCounters &counters, double trafficFactor, TimePoint now)
{
    const double pending = static_cast<double>(counters.pendingTokens) * trafficFactor;
    return fromMilliseconds(std::max(agedDelay(counters, now), pending / rateOf(counters)));
}

Duration readTime(const ServerCounters &counters, std::int64_t tokens)
{
    return fromMilliseconds(static_cast<double>(tokens) / rateOf(counters));
}

} // namespace ibisnotch
