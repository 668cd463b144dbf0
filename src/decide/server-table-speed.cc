// ServerTable: slowdowns of servers as instances share them.
#include <algorithm>
#include <cmath>

#include "ibisnotch/server-speed.h"

namespace ibisnotch {

namespace {

constexpr Duration ageUnit = std::chrono::milliseconds(10);

CompactSpeed compactSpeed(const BackendServer &server, const ServerCounters &counters,
                          TimePoint now)
{
    const Duration age = now.time_since_epoch() - Duration(counters.slowdownStatedAt.load());
    CompactSpeed speed;
    speed.server = serverId(server.name);
    speed.percent = static_cast<std::uint16_t>(std::lround(counters.slowdownPercent));
    speed.age = static_cast<std::uint16_t>(std::clamp<Duration::rep>(age / ageUnit, 0, 0xffff));
    return speed;
}

} // namespace

std::vector<CompactSpeed> ServerTable::collectNewSpeeds(TimePoint now, std::size_t maxCount,
                                                        bool includeRelayed)
{
    const std::lock_guard lock(m_mutex);
    std::vector<const Record *> news;
    for (const auto &[name, record] : m_records) {
        const bool canShare = includeRelayed || record.counters->slowdownStatedHere;
        if (canShare && isSlowdownNews(*record.counters, now))
            news.push_back(&record);
    }
    std::stable_sort(news.begin(), news.end(), [](const Record *a, const Record *b) {
        return a->counters->slowdownSharedAt < b->counters->slowdownSharedAt;
    });
    news.resize(std::min(news.size(), maxCount));
    std::vector<CompactSpeed> speeds;
    for (const Record *record : news) {
        ServerCounters &counters = *record->counters;
        speeds.push_back(compactSpeed(record->server, counters, now));
        counters.slowdownSharedPercent = counters.slowdownPercent.load();
        counters.slowdownSharedAt = now.time_since_epoch().count();
    }
    return speeds;
}

void ServerTable::onSpeed(const CompactSpeed &speed, TimePoint now, bool mustRelay)
{
    const std::lock_guard lock(m_mutex);
    const Record *record = find(speed.server);
    if (record == nullptr || !isValidSlowdown(speed.percent))
        return;
    ServerCounters &counters = *record->counters;
    const TimePoint at = now - speed.age * ageUnit;
    recordSlowdown(counters, speed.percent, at, false);
    if (mustRelay)
        return;
    counters.slowdownSharedPercent = speed.percent;
    counters.slowdownSharedAt = at.time_since_epoch().count();
}

} // namespace ibisnotch
