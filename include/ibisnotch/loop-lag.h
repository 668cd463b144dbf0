// How far an event loop is behind.
#pragma once

#include <algorithm>
#include <atomic>

#include "ibisnotch/clock.h"

namespace ibisnotch {

// Estimates how long what a loop handles now has waited unseen, by the lateness of a timer of the
// loop. After a stall that is the length of the stall, until all has been handled that was ready at
// its end. Thread safe.
class LoopLag
{
public:
    // The timer is due each `interval`; shorter stalls aren't noticed.
    LoopLag(Duration interval, TimePoint now) : m_interval(interval), m_tickedAt(now) { }

    // Called when the timer is set again after a pause.
    void restart(TimePoint now)
    {
        m_late = Duration(0);
        m_tickedAt = now;
    }
    // Called by the timer. Returns how late it is.
    Duration onTick(TimePoint now)
    {
        const Duration late = at(now);
        m_late = late;
        m_tickedAt = now;
        return late;
    }
    // Called by the loop behind all that was ready at the last tick.
    void onTurnEnd() { m_late = Duration(0); }

    Duration at(TimePoint now) const
    {
        const Duration overdue = now - m_tickedAt.load() - m_interval;
        return std::max({overdue, m_late.load(), Duration(0)});
    }

private:
    const Duration m_interval;
    std::atomic<TimePoint> m_tickedAt;
    std::atomic<Duration> m_late{Duration(0)}; // of the last tick, during its turn
};

} // namespace ibisnotch
