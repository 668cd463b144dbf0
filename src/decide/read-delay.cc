#include "ibisnotch/read-delay.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// Tokens a millisecond, until an engine has shown better: what the deployments' engines reach while
// they also generate.
constexpr double usualRate = 30;
// Shorter prompts take a step or two whatever their length, and say nothing of the rate.
constexpr std::int64_t leastTokens = 500;
// An engine that slows down is believed after some hundred prompts.
constexpr double rateKept = 0.998;
// Milliseconds for each request ahead, until an engine has shown otherwise: 2,300 tokens, what is
// left to read of the mean prompt of the deployments.
constexpr double usualMsPerWaiting = 60;
// A queue behind taken slots moves at the pace of whole answers, seconds each.
constexpr double mostMsPerWaiting = 1000;
// Of what is learnt, for each first token.
constexpr double paceKept = 0.9;

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

double paceOf(const ServerCounters &counters)
{
    return counters.msPerWaiting > 0 ? counters.msPerWaiting.load() : usualMsPerWaiting;
}

} // namespace

// Two threads that note at the same moment may lose one sample of many, which does no harm.
void noteFirstToken(ServerCounters &counters, std::int64_t tokens, double waiting, Duration taken)
{
    const double ms = std::max(0.1, milliseconds(taken));
    if (tokens >= leastTokens)
        counters.tokensPerMs
            = std::max(counters.tokensPerMs * rateKept, static_cast<double>(tokens) / ms);
    if (waiting < 1)
        return;
    const double waited = std::max(0.0, ms - static_cast<double>(tokens) / rateOf(counters));
    const double each = std::min(waited / waiting, mostMsPerWaiting);
    counters.msPerWaiting = paceKept * paceOf(counters) + (1 - paceKept) * each;
}

Duration readDelay(const ServerView &view)
{
    const ServerCounters &counters = *view.counters;
    const int sentSince = std::min(counters.sentSinceReport.load(), counters.awaitingFirst.load());
    return fromMilliseconds((view.waiting + std::max(0, sentSince)) * paceOf(counters));
}

Duration readTime(const ServerCounters &counters, std::int64_t tokens)
{
    return fromMilliseconds(static_cast<double>(tokens) / rateOf(counters));
}

} // namespace ibisnotch
