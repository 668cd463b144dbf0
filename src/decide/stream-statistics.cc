#include "ibisnotch/stream-statistics.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// Weight of the previous average when a sample is added. It averages over some tens of events,
// which an engine generates within a second.
constexpr double intervalSmoothing = 0.9;
constexpr Duration intervalMaxAge = std::chrono::seconds(1);
// Services without streams in this time don't limit the interval.
constexpr Duration statisticsMaxAge = std::chrono::seconds(10);
constexpr int minStreams = 20;
constexpr int maxStreamsWeighed = 200; // number of streams over which the mean length is smoothed
// The lengths of answers vary widely: nine of ten are shorter than twice the mean.
constexpr double longAnswerFactor = 2;
// The gaps between events vary within a stream: if their mean is half of the maximum, few exceed
// it.
constexpr double meanPartOfMaxGap = 0.5;

double maxEventIntervalFor(const Service &service, double meanEvents)
{
    // First tokens usually arrive well before their target. The target may be close to the
    // deadline, so at least half of the deadline is available to the stream.
    const double streamSeconds = std::max(seconds(service.deadline - service.targetLatency),
                                          seconds(service.deadline) / 2);
    const double intervalToEnd = streamSeconds / std::max(1.0, longAnswerFactor * meanEvents);
    const double intervalOfGaps = seconds(service.maxEventGap) * meanPartOfMaxGap;
    return intervalOfGaps > 0 ? std::min(intervalOfGaps, intervalToEnd) : intervalToEnd;
}

} // namespace

void recordEvents(ServerCounters &counters, int events, Duration elapsed, TimePoint now)
{
    if (events <= 0)
        return;
    const double interval = seconds(elapsed) / events;
    const double previous = eventIntervalSeconds(counters, now);
    counters.eventIntervalSeconds = previous > 0
        ? intervalSmoothing * previous + (1 - intervalSmoothing) * interval
        : interval;
    counters.lastEventAt = now.time_since_epoch().count();
}

double eventIntervalSeconds(const ServerCounters &counters, TimePoint now)
{
    const bool isRecent
        = now.time_since_epoch() - Duration(counters.lastEventAt.load()) < intervalMaxAge;
    return isRecent ? counters.eventIntervalSeconds.load() : 0;
}

void StreamStatistics::onStreamEnded(const Service &service, int priority, const std::string &pool,
                                     int events, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_statistics, [now](const auto &entry) {
        return entry.second.updatedAt + statisticsMaxAge <= now;
    });
    ServiceStatistics &statistics = m_statistics[{service.name, priority}];
    statistics.pool = pool;
    statistics.priority = priority;
    statistics.streams = std::min(statistics.streams + 1, maxStreamsWeighed);
    statistics.meanEvents += (events - statistics.meanEvents) / statistics.streams;
    statistics.maxEventIntervalSeconds = maxEventIntervalFor(service, statistics.meanEvents);
    statistics.updatedAt = now;
}

double StreamStatistics::maxEventIntervalSeconds(const std::string &pool, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    double lowest = 0;
    for (const auto &[name, statistics] : m_statistics) {
        const bool counts = statistics.pool == pool && statistics.streams >= minStreams
            && statistics.updatedAt + statisticsMaxAge > now;
        if (counts && (lowest == 0 || statistics.maxEventIntervalSeconds < lowest))
            lowest = statistics.maxEventIntervalSeconds;
    }
    return lowest;
}

int StreamStatistics::lessUrgentServices(const std::string &pool, int priority, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(
        std::count_if(m_statistics.begin(), m_statistics.end(), [&](const auto &entry) {
            const ServiceStatistics &statistics = entry.second;
            return statistics.pool == pool && statistics.priority > priority
                && statistics.updatedAt + statisticsMaxAge > now;
        }));
}

} // namespace ibisnotch
