// What requests read of one server in a routing table.
#include <algorithm>

#include "ibisnotch/server-table.h"

namespace ibisnotch {

std::string_view serverStatusName(ServerStatus status)
{
    switch (status) {
    case ServerStatus::usable:
        return "usable";
    case ServerStatus::trial:
        return "trial";
    case ServerStatus::ejected:
        return "ejected";
    case ServerStatus::leaving:
        return "leaving";
    case ServerStatus::unreachable:
        return "unreachable";
    }
    return "usable";
}

bool isResting(const ServerCounters &counters, TimePoint now)
{
    return now.time_since_epoch().count() < counters.restsUntil;
}

void recordForeignAnswer(ServerCounters &counters, TimePoint now)
{
    counters.foreignAnswerAt = now.time_since_epoch().count();
}

ConnectionReuse connectionReuse(const ServerCounters &counters, TimePoint now)
{
    const Duration::rep at = counters.foreignAnswerAt;
    if (at == 0)
        return {};
    const Duration elapsed = now - TimePoint(Duration(at));
    if (elapsed < foreignAnswerTime)
        return {false, {}};
    // Ages count in whole seconds.
    return {true, std::chrono::floor<std::chrono::seconds>(elapsed) - std::chrono::seconds(1)};
}

double correctedLoad(const ServerView &view, double trafficFactor)
{
    // In a region of a hundred instances, one request of this instance says almost nothing about
    // the others. With an unlimited factor, a full server looked empty after one request ended, and
    // an empty one looked full after one was sent.
    constexpr double maxTrafficFactor = 4;
    const int own = view.counters->sentSinceReport - view.counters->endedSinceReport;
    const double corrected = view.reportedLoad + own * std::min(trafficFactor, maxTrafficFactor);
    return std::max(corrected, static_cast<double>(view.counters->inFlight));
}

} // namespace ibisnotch
