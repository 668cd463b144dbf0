#include "ibisnotch/read-delay.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// Engines read shorter prompts in one or two steps regardless of their length, so these don't show
// the rate.
constexpr std::int64_t minTokensForRate = 500;
// Factor by which the known rate falls per prompt. It follows an engine that has become slower
// within some hundred prompts.
constexpr double rateDecay = 0.998;
// While all slots are taken, a queue advances only when whole answers end, which takes seconds
// each.
constexpr double maxMsPerWaitingRequest = 1000;
// Weight of the previous average when a first token is added.
constexpr double delaySmoothing = 0.9;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Duration fromMilliseconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

} // namespace

void recordFirstToken(ServerCounters &counters, const FirstTokenSample &sample)
{
    const double ms = std::max(0.1, milliseconds(sample.elapsed));
    // A first token that was delayed by other requests gives too low a rate, so it is used only if
    // a rate is known already.
    const bool showsRate = sample.waiting < 1 || counters.tokensPerMs > 0;
    if (sample.tokens >= minTokensForRate && showsRate)
        counters.tokensPerMs
            = std::max(counters.tokensPerMs * rateDecay, static_cast<double>(sample.tokens) / ms);
    if (sample.waiting < 1)
        return;
    const double rate = std::max(sample.tokensPerMs, counters.tokensPerMs.load());
    const double readMs = milliseconds(readTime(rate, sample.tokens));
    const double delayMs
        = std::min(std::max(0.0, ms - readMs) / sample.waiting, maxMsPerWaitingRequest);
    // Some instances get few samples, so the first one is averaged with an initial estimate: the
    // reading time of a prompt like this one.
    const double previousMs
        = counters.msPerWaitingRequest > 0 ? counters.msPerWaitingRequest.load() : readMs;
    counters.msPerWaitingRequest = delaySmoothing * previousMs + (1 - delaySmoothing) * delayMs;
}

void PromptLengths::onPrompt(const std::string &pool, std::int64_t tokens)
{
    constexpr double smoothing = 0.98; // over about fifty prompts
    const std::lock_guard lock(m_mutex);
    const auto [found, added] = m_means.try_emplace(pool, static_cast<double>(tokens));
    if (!added)
        found->second = smoothing * found->second + (1 - smoothing) * static_cast<double>(tokens);
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
