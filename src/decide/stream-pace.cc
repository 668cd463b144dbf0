#include "ibisnotch/stream-pace.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// Of what is known of an engine's pace, for each event: some tens of events, which an engine makes
// within a second.
constexpr double paceKept = 0.9;
constexpr Duration paceLife = std::chrono::seconds(1);
// A service that nobody asked for in this time has nothing to lose.
constexpr Duration habitLife = std::chrono::seconds(10);
constexpr int fewestSeen = 20;
constexpr int mostWeight = 200; // answers over which the mean length is smoothed
// Lengths of answers are spread widely: nine of ten are shorter than twice the mean.
constexpr double longAnswer = 2;
// Pauses differ within a stream: at half of the longest one on average, few exceed it.
constexpr double partOfLongestPause = 0.5;

double bearableFor(const Service &service, double events)
{
    // First tokens come well before their target, which may lie close to the deadline.
    const double left = std::max(seconds(service.deadline - service.targetLatency),
                                 seconds(service.deadline) / 2);
    const double toEnd = left / std::max(1.0, longAnswer * events);
    const double pause = seconds(service.maxEventGap) * partOfLongestPause;
    return pause > 0 ? std::min(pause, toEnd) : toEnd;
}

} // namespace

// Two threads that note at the same moment may lose one sample of many, which does no harm.
void noteEvents(ServerCounters &counters, int events, Duration taken, TimePoint now)
{
    if (events <= 0)
        return;
    const double each = seconds(taken) / events;
    const double known = eventIntervalSeconds(counters, now);
    counters.eventIntervalSeconds = known > 0 ? paceKept * known + (1 - paceKept) * each : each;
    counters.lastEventAt = now.time_since_epoch().count();
}

double eventIntervalSeconds(const ServerCounters &counters, TimePoint now)
{
    const bool fresh = now.time_since_epoch() - Duration(counters.lastEventAt.load()) < paceLife;
    return fresh ? counters.eventIntervalSeconds.load() : 0;
}

void StreamHabits::onEnded(const Service &service, int priority, const std::string &pool,
                           int events, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_habits,
                  [now](const auto &entry) { return entry.second.at + habitLife <= now; });
    Habit &habit = m_habits[{service.name, priority}];
    habit.pool = pool;
    habit.priority = priority;
    habit.seen = std::min(habit.seen + 1, mostWeight);
    habit.events += (events - habit.events) / habit.seen;
    habit.bearable = bearableFor(service, habit.events);
    habit.at = now;
}

double StreamHabits::bearableSeconds(const std::string &pool, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    double least = 0;
    for (const auto &[name, habit] : m_habits) {
        const bool counts
            = habit.pool == pool && habit.seen >= fewestSeen && habit.at + habitLife > now;
        if (counts && (least == 0 || habit.bearable < least))
            least = habit.bearable;
    }
    return least;
}

int StreamHabits::lessUrgent(const std::string &pool, int priority, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(std::count_if(m_habits.begin(), m_habits.end(), [&](const auto &entry) {
        const Habit &habit = entry.second;
        return habit.pool == pool && habit.priority > priority && habit.at + habitLife > now;
    }));
}

} // namespace ibisnotch
