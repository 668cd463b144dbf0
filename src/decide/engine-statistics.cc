#include "ibisnotch/engine-statistics.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// Intervals up to this quantile are those of engines that read no prompts; those from the other one
// up are those of engines that read prompts all the time.
constexpr double lowQuantile = 0.2;
constexpr double highQuantile = 0.95;
// Part by which a quantile moves with each event.
constexpr double quantileStep = 0.02;
constexpr double firstQuantileStep = 0.2;
constexpr int firstEvents = 50;
// Longer intervals than this many times the low ones include the reading of prompts.
constexpr double maxUndisturbedFactor = 3;
constexpr double intervalSmoothing = 0.99;
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

void EngineStatistics::onEvent(const std::string &pool, double intervalSeconds, double slowdown)
{
    if (intervalSeconds <= 0 || slowdown <= 0)
        return;
    const double usual = intervalSeconds / slowdown;
    const std::lock_guard lock(m_mutex);
    Pool &known = m_pools[pool];
    const double step = known.events < firstEvents ? firstQuantileStep : quantileStep;
    known.events = std::min(known.events + 1, firstEvents);
    moveQuantile(known.lowInterval, usual, lowQuantile, step);
    moveQuantile(known.highInterval, usual, highQuantile, step);
    if (usual > known.lowInterval * maxUndisturbedFactor)
        return;
    known.meanLowInterval = known.meanLowInterval > 0
        ? intervalSmoothing * known.meanLowInterval + (1 - intervalSmoothing) * usual
        : usual;
}

void EngineStatistics::onStreamEnded(const std::string &pool, const std::string &service,
                                     const EndedStream &stream)
{
    const std::lock_guard lock(m_mutex);
    Pool &known = m_pools[pool];
    const double streaming = seconds(stream.streaming);
    known.tokenSeconds = sumSmoothing * known.tokenSeconds + stream.tokens * streaming;
    known.streamSeconds = sumSmoothing * known.streamSeconds + streaming;
    const auto [found, added] = m_meanEvents.try_emplace(service, stream.events);
    if (!added)
        found->second = eventsSmoothing * found->second + (1 - eventsSmoothing) * stream.events;
}

EngineFacts EngineStatistics::facts(const std::string &pool) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return {};
    const Pool &known = found->second;
    const double held = known.streamSeconds > 0 ? known.tokenSeconds / known.streamSeconds : 0;
    return {known.lowInterval, known.meanLowInterval,
            std::max(known.highInterval, known.lowInterval), held};
}

double EngineStatistics::meanEvents(const std::string &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_meanEvents.find(service);
    return found == m_meanEvents.end() ? 0 : found->second;
}

} // namespace ibisnotch
