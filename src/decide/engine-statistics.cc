#include "ibisnotch/engine-statistics.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// Streams with intervals up to this quantile ran while their engine read no prompts; those from the
// other one up ran while it read prompts all the time. Intervals of whole streams are used because
// several events may arrive at the same moment.
constexpr double lowQuantile = 0.1;
constexpr double highQuantile = 0.95;
// Part by which a quantile moves with each stream.
constexpr double quantileStep = 0.05;
constexpr double firstQuantileStep = 0.2;
constexpr int firstStreams = 30;
constexpr double minEvents = 3; // of a stream that shows an interval
constexpr double intervalSmoothing = 0.97;
constexpr double minAheadPart = 0.05;
constexpr double maxAheadPart = 5;
constexpr double minKnownAheadSeconds = 0.5; // sum of what was ahead, from which a part is known
constexpr double eventsSmoothing = 0.98; // over about fifty streams
constexpr double sumSmoothing = 0.99;

void moveQuantile(double &quantile, double value, double part, double step)
{
    if (quantile <= 0)
        quantile = value;
    else if (value > quantile)
        quantile *= 1 + step * part;
    else
        quantile *= 1 - step * (1 - part);
}

} // namespace

double usualInterval(const EndedStream &stream)
{
    return stream.events < minEvents || stream.slowdown <= 0
        ? 0
        : seconds(stream.streaming) / (stream.events - 1) / stream.slowdown;
}

void EngineStatistics::onFirstEvent(const std::string &service, double waitSeconds,
                                    double aheadSeconds)
{
    const std::lock_guard lock(m_mutex);
    Wait &wait = m_waits[service];
    wait.seconds = sumSmoothing * wait.seconds + std::max(0.0, waitSeconds);
    wait.aheadSeconds = sumSmoothing * wait.aheadSeconds + std::max(0.0, aheadSeconds);
}

double EngineStatistics::aheadPart(const std::string &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_waits.find(service);
    if (found == m_waits.end() || found->second.aheadSeconds < minKnownAheadSeconds)
        return 1;
    return std::clamp(found->second.seconds / found->second.aheadSeconds, minAheadPart,
                      maxAheadPart);
}

void EngineStatistics::onStreamEnded(const std::string &pool, const std::string &service,
                                     const EndedStream &stream)
{
    const std::lock_guard lock(m_mutex);
    Pool &known = m_pools[pool];
    const double streaming = seconds(stream.streaming);
    known.tokenSeconds = sumSmoothing * known.tokenSeconds + stream.tokens * streaming;
    known.streamSeconds = sumSmoothing * known.streamSeconds + streaming;
    if (const double interval = usualInterval(stream); interval > 0) {
        const double step = known.streams < firstStreams ? firstQuantileStep : quantileStep;
        known.streams = std::min(known.streams + 1, firstStreams);
        moveQuantile(known.lowInterval, interval, lowQuantile, step);
        moveQuantile(known.highInterval, interval, highQuantile, step);
        known.meanInterval = known.meanInterval > 0
            ? intervalSmoothing * known.meanInterval + (1 - intervalSmoothing) * interval
            : interval;
    }
    const auto [found, added] = m_meanEvents.try_emplace(service, stream.events);
    if (!added)
        found->second = eventsSmoothing * found->second + (1 - eventsSmoothing) * stream.events;
}

void EngineStatistics::onPromptRead(const std::string &pool, std::int64_t tokens, Duration elapsed)
{
    // Shorter prompts take a step each, whatever their length.
    constexpr std::int64_t minTokens = 500;
    constexpr double decay = 0.999; // by prompt, so that the rate follows engines that become slow
    if (tokens < minTokens || elapsed <= Duration(0))
        return;
    const double rate
        = static_cast<double>(tokens) / std::chrono::duration<double, std::milli>(elapsed).count();
    const std::lock_guard lock(m_mutex);
    double &highest = m_pools[pool].readRate;
    highest = std::max(decay * highest, rate);
}

double EngineStatistics::readRate(const std::string &pool) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? 0 : found->second.readRate;
}

EngineFacts EngineStatistics::facts(const std::string &pool) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return {};
    const Pool &known = found->second;
    const double held = known.streamSeconds > 0 ? known.tokenSeconds / known.streamSeconds : 0;
    return {known.lowInterval, known.meanInterval, std::max(known.highInterval, known.lowInterval),
            held};
}

double EngineStatistics::meanEvents(const std::string &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_meanEvents.find(service);
    return found == m_meanEvents.end() ? 0 : found->second;
}

} // namespace ibisnotch
