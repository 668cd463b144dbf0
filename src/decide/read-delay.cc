#include "ibisnotch/read-delay.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// Shorter prompts take a step or two whatever their length, and say nothing of the rate.
constexpr std::int64_t leastTokens = 500;
// An engine that slows down is believed after some hundred prompts.
constexpr double rateKept = 0.998;
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

} // namespace

// Two threads that note at the same moment may lose one sample of many, which does no harm.
void recordFirstToken(ServerCounters &counters, const FirstTokenSample &first)
{
    const double ms = std::max(0.1, milliseconds(first.elapsed));
    // A first token that others made wait tells a rate only beside better ones.
    const bool tellsRate = first.waiting < 1 || counters.tokensPerMs > 0;
    if (first.tokens >= leastTokens && tellsRate)
        counters.tokensPerMs
            = std::max(counters.tokensPerMs * rateKept, static_cast<double>(first.tokens) / ms);
    if (first.waiting < 1)
        return;
    const double rate = std::max(first.tokensPerMs, counters.tokensPerMs.load());
    const double read = milliseconds(readTime(rate, first.tokens));
    const double each = std::min(std::max(0.0, ms - read) / first.waiting, mostMsPerWaiting);
    // The first sample of an instance that sees few says little: it is weighed against a prompt
    // like this one for each that waits.
    const double known
        = counters.msPerWaitingRequest > 0 ? counters.msPerWaitingRequest.load() : read;
    counters.msPerWaitingRequest = paceKept * known + (1 - paceKept) * each;
}

void PromptLengths::onPrompt(const std::string &pool, std::int64_t tokens)
{
    constexpr double kept = 0.98; // some fifty prompts
    const std::lock_guard lock(m_mutex);
    const auto [found, added] = m_means.try_emplace(pool, static_cast<double>(tokens));
    if (!added)
        found->second = kept * found->second + (1 - kept) * static_cast<double>(tokens);
}

double PromptLengths::mean(const std::string &pool) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_means.find(pool);
    return found == m_means.end() ? 0 : found->second;
}

Duration readDelay(const ServerView &view, double msPerWaitingRequest)
{
    const ServerCounters &counters = *view.counters;
    const int sentSince
        = std::min(counters.sentSinceReport.load(), counters.awaitingFirstToken.load());
    return fromMilliseconds((view.waiting + std::max(0, sentSince)) * msPerWaitingRequest);
}

Duration readTime(double tokensPerMs, std::int64_t tokens)
{
    return tokensPerMs > 0 ? fromMilliseconds(static_cast<double>(tokens) / tokensPerMs)
                           : Duration(0);
}

} // namespace ibisnotch
