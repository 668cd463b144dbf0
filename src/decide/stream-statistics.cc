#include "ibisnotch/stream-statistics.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// Of what is known of an engine's pace, for each event: some tens of events, which an engine makes
// within a second.
constexpr double intervalSmoothing = 0.9;
constexpr Duration intervalMaxAge = std::chrono::seconds(1);
// A service that nobody asked for in this time has nothing to lose.
constexpr Duration statisticsMaxAge = std::chrono::seconds(10);
constexpr int minStreams = 20;
constexpr int maxStreamsWeighed = 200; // answers over which the mean length is smoothed
// Lengths of answers are spread widely: nine of ten are shorter than twice the mean.
constexpr double longAnswerFactor = 2;
// Pauses differ within a stream: at half of the longest one on average, few exceed it.
constexpr double meanShareOfLongestPause = 0.5;

double maxEventIntervalFor(const Service &service, double events)
{
    // First tokens come well before their target, which may lie close to the deadline.
    const double left = std::max(seconds(service.deadline - service.targetLatency),
                                 seconds(service.deadline) / 2);
    const double toEnd = left / std::max(1.0, longAnswerFactor * events);
    const double pause = seconds(service.maxEventGap) * meanShareOfLongestPause;
    return pause > 0 ? std::min(pause, toEnd) : toEnd;
}

} // namespace

// Two threads that note at the same moment may lose one sample of many, which does no harm.
void recordEvents(ServerCounters &counters, int events, Duration elapsed, TimePoint now)
{
    if (events <= 0)
        return;
    const double each = seconds(elapsed) / events;
    const double known = eventIntervalSeconds(counters, now);
    counters.eventIntervalSeconds
        = known > 0 ? intervalSmoothing * known + (1 - intervalSmoothing) * each : each;
    counters.lastEventAt = now.time_since_epoch().count();
}

double eventIntervalSeconds(const ServerCounters &counters, TimePoint now)
{
    const bool fresh
        = now.time_since_epoch() - Duration(counters.lastEventAt.load()) < intervalMaxAge;
    return fresh ? counters.eventIntervalSeconds.load() : 0;
}

void StreamStatistics::onStreamEnded(const Service &service, int priority, const std::string &pool,
                                     int events, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_statistics,
                  [now](const auto &entry) { return entry.second.at + statisticsMaxAge <= now; });
    ServiceStatistics &statistics = m_statistics[{service.name, priority}];
    statistics.pool = pool;
    statistics.priority = priority;
    statistics.streams = std::min(statistics.streams + 1, maxStreamsWeighed);
    statistics.meanEvents += (events - statistics.meanEvents) / statistics.streams;
    statistics.maxEventIntervalSeconds = maxEventIntervalFor(service, statistics.meanEvents);
    statistics.at = now;
}

double StreamStatistics::maxEventIntervalSeconds(const std::string &pool, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    double least = 0;
    for (const auto &[name, statistics] : m_statistics) {
        const bool counts = statistics.pool == pool && statistics.streams >= minStreams
            && statistics.at + statisticsMaxAge > now;
        if (counts && (least == 0 || statistics.maxEventIntervalSeconds < least))
            least = statistics.maxEventIntervalSeconds;
    }
    return least;
}

int StreamStatistics::lessUrgentServices(const std::string &pool, int priority, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(
        std::count_if(m_statistics.begin(), m_statistics.end(), [&](const auto &entry) {
            const ServiceStatistics &statistics = entry.second;
            return statistics.pool == pool && statistics.priority > priority
                && statistics.at + statisticsMaxAge > now;
        }));
}

} // namespace ibisnotch
