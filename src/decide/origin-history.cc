#include "ibisnotch/origin-history.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// Longer than any stream lasts.
constexpr Duration retention = OriginHistory::maxCallerLimit + OriginHistory::resumeReserve;

// Marks the entries that `current` doesn't contain as last seen now, and adds those that it does.
template <typename Key>
void update(std::map<Key, TimePoint> &lastSeen, const std::set<Key> &current, TimePoint now)
{
    for (auto &[key, at] : lastSeen) {
        if (at == TimePoint::max())
            at = now;
    }
    for (const Key &key : current)
        lastSeen[key] = TimePoint::max();
    std::erase_if(lastSeen, [now](const auto &entry) {
        return entry.second != TimePoint::max() && now - entry.second > retention;
    });
}

bool isRecent(TimePoint lastSeen, Duration lifetime, TimePoint now)
{
    return lastSeen == TimePoint::max() || now - lastSeen <= lifetime;
}

} // namespace

bool isSole(const PossibleOrigins &possible)
{
    return possible.isComplete && possible.origins.size() == 1;
}

std::optional<StreamOrigin> soleOrigin(std::span<const PossibleOrigins> known)
{
    std::optional<StreamOrigin> sole;
    bool isComplete = false;
    for (const PossibleOrigins &possible : known) {
        isComplete = isComplete || possible.isComplete;
        for (const StreamOrigin &origin : possible.origins) {
            if (sole && *sole != origin)
                return std::nullopt;
            sole = origin;
        }
    }
    return isComplete ? sole : std::nullopt;
}

void OriginHistory::setListed(const std::set<StreamOrigin> &listed, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    update(m_origins, listed, now);
}

void OriginHistory::setServices(const std::map<std::string, Service> &services, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const ServiceHistory inherited = historyOfNewService(now);
    for (const auto &[name, service] : services) {
        std::set<std::string> pools;
        for (const PoolShare &share : service.pools)
            pools.insert(share.pool);
        auto found = m_services.find(name);
        if (found == m_services.end())
            found = m_services.emplace(name, inherited).first;
        ServiceHistory &history = found->second;
        history.isStreaming = service.isStreaming;
        history.deadline = std::max(history.deadline, service.deadline);
        update(history.pools, pools, now);
    }
}

// A new service may take over paths of others, with streams that callers resume.
OriginHistory::ServiceHistory OriginHistory::historyOfNewService(TimePoint now) const
{
    ServiceHistory sum;
    for (const auto &[name, history] : m_services) {
        if (!history.isStreaming)
            continue;
        sum.deadline = std::max(sum.deadline, history.deadline);
        if (outlastsDeadline(history, now) && history.callerLimit >= sum.callerLimit) {
            sum.callerLimit = history.callerLimit;
            sum.callerLimitAt = history.callerLimitAt;
        }
        for (const auto &[pool, lastSeen] : history.pools) {
            TimePoint &latest = sum.pools[pool];
            latest = std::max(latest, std::min(lastSeen, now));
        }
    }
    return sum;
}

void OriginHistory::onCaller(const std::string &service, Duration limit, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    ServiceHistory &history = found->second;
    const Duration counted = std::min(limit, maxCallerLimit);
    if (counted < history.callerLimit && now - history.callerLimitAt <= maxCallerLimit)
        return;
    history.callerLimit = counted;
    history.callerLimitAt = now;
}

bool OriginHistory::outlastsDeadline(const std::string &service, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(service);
    return found != m_services.end() && outlastsDeadline(found->second, now);
}

bool OriginHistory::outlastsDeadline(const ServiceHistory &history, TimePoint now)
{
    const bool isRecent = now - history.callerLimitAt <= maxCallerLimit;
    return isRecent && history.callerLimit > history.deadline;
}

Duration OriginHistory::streamLifetime(const ServiceHistory &history, TimePoint now)
{
    const Duration longest
        = outlastsDeadline(history, now) ? history.callerLimit : history.deadline;
    return longest + resumeReserve;
}

void OriginHistory::onConfirmed(TimePoint confirmedAt, Duration maxAge, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (confirmedAt == TimePoint{})
        return;
    // A version may have come and gone while the list wasn't followed.
    const bool hadGap = m_confirmedAt == TimePoint{} || confirmedAt - m_confirmedAt > maxAge;
    if (hadGap)
        m_currentSince = now;
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    m_maxAge = maxAge;
}

void OriginHistory::onGap(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_currentSince = now;
}

PossibleOrigins OriginHistory::possibleOrigins(const std::string &service, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return {};
    const ServiceHistory &history = found->second;
    const Duration lifetime = streamLifetime(history, now);
    PossibleOrigins possible;
    for (const auto &[origin, lastListed] : m_origins) {
        const auto pool = history.pools.find(origin.pool);
        const bool isPossible = pool != history.pools.end() && isRecent(pool->second, lifetime, now)
            && isRecent(lastListed, lifetime, now);
        if (isPossible)
            possible.origins.push_back(origin);
    }
    possible.isComplete = m_confirmedAt != TimePoint{} && now - m_confirmedAt <= m_maxAge
        && now - m_currentSince >= lifetime;
    return possible;
}

} // namespace ibisnotch
