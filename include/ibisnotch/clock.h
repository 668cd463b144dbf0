// Time types, and clocks that can be replaced in tests.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>

namespace ibisnotch {

using Duration = std::chrono::microseconds;

// Monotonic time since an arbitrary start; only differences are meaningful.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

inline double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Wall time. Used only where instances must agree on a time: booking keys and callers' deadlines.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
    virtual WallTime wallNow() const = 0;
};

class SystemClock final : public Clock
{
public:
    TimePoint now() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }
    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    }
};

// A clock for tests. Both kinds of time change only by advance(), by the same amount.
class ManualClock final : public Clock
{
public:
    explicit ManualClock(WallTime wallStart = WallTime(std::chrono::hours(24 * 365 * 50)))
        : m_wallStart(wallStart)
    {
    }
    TimePoint now() const override { return TimePoint(Duration(m_elapsed.load())); }
    WallTime wallNow() const override { return m_wallStart + Duration(m_elapsed.load()); }
    void advance(Duration by) { m_elapsed += by.count(); }

private:
    WallTime m_wallStart;
    std::atomic<Duration::rep> m_elapsed = 0;
};

// Returns an age in milliseconds as messages carry it, clamped to the range of the type.
inline std::uint32_t ageInMs(TimePoint at, TimePoint now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
}

inline long long wallMilliseconds(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace ibisnotch
