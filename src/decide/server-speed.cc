#include "ibisnotch/server-speed.h"

#include <algorithm>
#include <cmath>

namespace ibisnotch {

namespace {

constexpr double usualPercent = 100;
constexpr double minPercent = 1;
constexpr double maxPercent = 10'000;
// A stated value holds for this long.
constexpr Duration freshTime = std::chrono::milliseconds(300);
// Time constants of the fading of a stated value, of the mean, and of the mean's return to the
// usual speed while the server states nothing.
constexpr double fadeSeconds = 0.5;
constexpr double meanSeconds = 4;
constexpr double forgetSeconds = 2;
// A belief closer to the usual speed than this counts as usual. A server that gets no requests
// states nothing, so it is tried again once its slowdown is no longer sure.
constexpr double ignoredPart = 0.1;
// A single statement changes the mean as if it had held for this long at most.
constexpr double maxHoldSeconds = 1;
// Servers that differ by more than this are slow for another reason than their machine's kind.
constexpr double minRelativePace = 0.5;
constexpr double maxRelativePace = 2;
constexpr double paceSmoothing = 0.95;
constexpr int minPaceSamples = 30;
// Changes by less than this part are no news.
constexpr double newsPart = 0.15;
// A value other than the usual one is repeated, since the others believe it only while it is fresh.
constexpr Duration repeatTime = std::chrono::milliseconds(400);

Duration::rep ticks(TimePoint at)
{
    return at.time_since_epoch().count();
}

double secondsSince(Duration::rep at, TimePoint now)
{
    return std::max(0.0, seconds(now.time_since_epoch() - Duration(at)));
}

// Returns the mean as of `now`. Without statements it returns to the usual speed.
double meanSlowdownAt(const ServerCounters &counters, TimePoint now)
{
    const double mean = counters.meanSlowdown;
    if (mean <= 0)
        return 1;
    const double silent = secondsSince(counters.slowdownStatedAt, now) - maxHoldSeconds;
    return 1 + (mean - 1) * std::exp(-std::max(0.0, silent) / forgetSeconds);
}

} // namespace

bool isValidSlowdown(double percent)
{
    return std::isfinite(percent) && percent >= minPercent && percent <= maxPercent;
}

void recordSlowdown(ServerCounters &counters, double percent, TimePoint at, bool statedHere)
{
    const Duration::rep last = counters.slowdownStatedAt;
    if (!isValidSlowdown(percent) || ticks(at) <= last)
        return;
    const double held
        = counters.slowdownPercent > 0 ? std::min(secondsSince(last, at), maxHoldSeconds) : 0;
    const double mean = meanSlowdownAt(counters, at);
    const double weight = 1 - std::exp(-held / meanSeconds);
    counters.meanSlowdown = mean + (percent / usualPercent - mean) * weight;
    counters.slowdownPercent = percent;
    counters.slowdownStatedAt = ticks(at);
    counters.slowdownStatedHere = statedHere;
}

void recordPace(ServerCounters &counters, double intervalSeconds, double usualInterval)
{
    if (usualInterval <= 0 || intervalSeconds <= 0)
        return;
    const double pace
        = std::clamp(intervalSeconds / usualInterval, minRelativePace, maxRelativePace);
    counters.relativePace = paceSmoothing * counters.relativePace + (1 - paceSmoothing) * pace;
    counters.paceSamples = std::min(counters.paceSamples + 1, minPaceSamples);
}

double statedSlowdown(const ServerCounters &counters, TimePoint now)
{
    const double percent = counters.slowdownPercent;
    if (percent <= 0)
        return 1;
    const double mean = meanSlowdownAt(counters, now);
    const double age = secondsSince(counters.slowdownStatedAt, now) - seconds(freshTime);
    const double weight = std::exp(-std::max(0.0, age) / fadeSeconds);
    const double believed = mean + (percent / usualPercent - mean) * weight;
    return std::abs(believed - 1) < ignoredPart ? 1 : believed;
}

double slowdown(const ServerCounters &counters, TimePoint now)
{
    if (counters.slowdownPercent > 0)
        return statedSlowdown(counters, now);
    return counters.paceSamples >= minPaceSamples ? counters.relativePace.load() : 1;
}

double maxSlowdown(const RoutingTable &table, TimePoint now)
{
    double highest = 0;
    for (const ServerView &view : table.servers) {
        if (view.status == ServerStatus::usable)
            highest = std::max(highest, slowdown(*view.counters, now));
    }
    return highest;
}

bool isSlowdownNews(const ServerCounters &counters, TimePoint now)
{
    const double stated = counters.slowdownPercent;
    if (stated <= 0 || counters.slowdownStatedAt <= counters.slowdownSharedAt)
        return false;
    const double shared = counters.slowdownSharedPercent;
    const double known = shared > 0 ? shared : usualPercent;
    if (std::abs(stated - known) > newsPart * known)
        return true;
    const bool isUsual = std::abs(stated - usualPercent) <= newsPart * usualPercent;
    return !isUsual && secondsSince(counters.slowdownSharedAt, now) >= seconds(repeatTime);
}

} // namespace ibisnotch
