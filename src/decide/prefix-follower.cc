#include "ibisnotch/prefix-follower.h"

#include <algorithm>

namespace ibisnotch {

std::optional<FollowCall> PrefixFollower::nextCall(TimePoint now)
{
    if (m_callPending || now < m_nextCallAt)
        return std::nullopt;
    if (m_watching && m_role == FollowRole::listener && now < m_updateValidUntil)
        return std::nullopt;
    m_callPending = true;
    m_listPending = !m_watching;
    if (!m_watching)
        return ListCall{m_after};
    return WatchCall{m_asOf, watchTimeout(now)};
}

Duration PrefixFollower::watchTimeout(TimePoint now) const
{
    const bool useShortWatch = m_role == FollowRole::relay || now < m_shortWatchUntil;
    return useShortWatch ? m_limits.relayWatchTimeout : m_limits.watchTimeout;
}

Duration PrefixFollower::validity(TimePoint now) const
{
    // Delay of a response of the store, and of an update of a peer.
    constexpr Duration responseDelay = std::chrono::seconds(1);
    const Duration watchInterval
        = now < m_shortWatchUntil ? m_limits.relayWatchTimeout : m_limits.watchTimeout;
    return watchInterval + responseDelay;
}

void PrefixFollower::restartListing()
{
    m_watching = false;
    m_after.clear();
    m_listed.clear();
    m_listAsOf = 0;
}

bool PrefixFollower::startEra(std::uint64_t era, TimePoint now, Duration delay)
{
    const std::uint64_t start = makeRevision(era, 0);
    if (start <= m_eraStart)
        return false;
    m_eraStart = start;
    const bool isAhead = m_asOf >= start;
    const bool knowsNothing = m_asOf == 0 && m_listAsOf == 0;
    if (isAhead || knowsNothing)
        return false;
    restartListing();
    m_callPending = false;
    m_nextCallAt = now + delay;
    return true;
}

std::vector<StoreItem> PrefixFollower::onResponse(const StorePage &page, TimePoint now)
{
    m_callPending = false;
    if (page.status == StoreStatus::historyLost) {
        restartListing();
        return {};
    }
    // A response of an earlier era that comes late says nothing of the store's state.
    if (page.status != StoreStatus::ok || page.asOf < m_eraStart) {
        const Duration pause = m_limits.initialRetryDelay * (1 << std::min(m_failures, 4));
        m_nextCallAt = now + std::min(pause, m_limits.maxRetryDelay);
        ++m_failures;
        m_shortWatchUntil = now + m_limits.shortWatchPeriod;
        // The listing continues: the page that failed is requested again.
        return {};
    }
    m_failures = 0;
    m_lastConfirmedAt = now;
    if (!m_watching) {
        m_updateValidUntil = now + m_limits.updateValidity;
        return onListPage(page);
    }
    // Another instance has sent the full range while a page was being read. The page is dropped, as
    // it does not show which keys have been removed since.
    if (m_listPending)
        return {};
    m_nextCallAt = page.items.empty() ? now : now + m_limits.coalesceDelay;
    std::vector<StoreItem> items = page.items;
    dropKnownRevisions(items);
    m_asOf = std::max(m_asOf, page.asOf);
    return apply(items);
}

// Drops changes that are known already. A late write of a key that is known to be removed would
// restore the key permanently.
void PrefixFollower::dropKnownRevisions(std::vector<StoreItem> &items) const
{
    std::erase_if(items, [this](const StoreItem &item) { return item.revision <= m_asOf; });
}

std::vector<StoreItem> PrefixFollower::onUpdate(const RangeUpdate &update, TimePoint at)
{
    // An instance that was cut off while the store went back may still know the earlier era only.
    if (update.asOf < m_eraStart)
        return {};
    if (update.base == 0 && (update.asOf > m_asOf || !m_watching)) {
        m_lastConfirmedAt = std::max(m_lastConfirmedAt, at);
        return onFullRange(update);
    }
    if (!m_watching)
        return {};
    if (update.base > m_asOf) {
        // Changes are missing in between, so the next call is made at once.
        m_updateValidUntil = at;
        return {};
    }
    if (update.asOf < m_asOf)
        return {};
    m_updateValidUntil = at + m_limits.updateValidity;
    m_lastConfirmedAt = std::max(m_lastConfirmedAt, at);
    std::vector<StoreItem> items = update.items;
    dropKnownRevisions(items);
    std::vector<StoreItem> changes = apply(items);
    for (StoreItem &item : removeUnnamedKeys(update))
        changes.push_back(std::move(item));
    m_asOf = update.asOf;
    return changes;
}

bool PrefixFollower::hidesAWrite(const RangeUpdate &update) const
{
    if (update.base == 0)
        return m_complete && update.asOf > std::max(m_asOf, m_eraStart);
    const bool isApplicable = m_watching && update.asOf >= std::max(m_asOf, m_eraStart)
        && update.base > 0 && update.base <= m_asOf;
    std::set<std::string> written;
    for (const StoreItem &item : update.items) {
        const bool isKnown = m_items.count(item.key) > 0 || written.count(item.key) > 0;
        if (!item.deleted)
            written.insert(item.key);
        else if (isApplicable && !isKnown && item.revision > m_asOf)
            return true;
    }
    return false;
}

std::vector<StoreItem> PrefixFollower::removeUnnamedKeys(const RangeUpdate &update)
{
    std::map<std::string, std::uint64_t> changedAt; // revision of the last change of each key
    for (const StoreItem &item : update.items)
        changedAt[item.key] = std::max(changedAt[item.key], item.revision);
    std::vector<StoreItem> removals;
    for (const auto &[key, item] : m_items) {
        const bool changedSince = item.revision > update.base && item.revision <= update.asOf;
        if (changedSince && changedAt[key] < item.revision)
            removals.push_back({key, "", update.asOf, true});
    }
    return apply(removals);
}

std::vector<StoreItem> PrefixFollower::onFullRange(const RangeUpdate &update)
{
    // Pages that were read before the listing was interrupted may be newer.
    if (update.asOf < m_asOf)
        return {};
    std::set<std::string> listed;
    for (const StoreItem &item : update.items)
        listed.insert(item.key);
    std::vector<StoreItem> items = update.items;
    dropObsolete(items);
    std::vector<StoreItem> changes = apply(items);
    for (StoreItem &item : removeUnlistedKeys(listed, update.asOf, true))
        changes.push_back(std::move(item));
    m_pagesAsOf = update.asOf;
    m_asOf = update.asOf;
    m_complete = true;
    restartListing();
    m_watching = true;
    return changes;
}

bool PrefixFollower::onPosition(std::uint64_t lastChange, TimePoint at)
{
    if (lastChange < m_eraStart)
        return true;
    if (!m_watching || lastChange > m_asOf)
        return lastChange == 0;
    m_lastConfirmedAt = std::max(m_lastConfirmedAt, at);
    m_updateValidUntil = std::max(m_updateValidUntil, at + m_limits.updateValidity);
    return true;
}

std::optional<RangeUpdate> PrefixFollower::updateSince(const std::string &prefix,
                                                       std::uint64_t revision) const
{
    if (!m_watching || m_asOf < m_pagesAsOf)
        return std::nullopt;
    const bool inGap = revision >= m_gapStart && revision < m_gapEnd;
    const std::uint64_t base = inGap ? m_gapStart : revision;
    const bool isFullRange = base < m_removedSince;
    RangeUpdate update{prefix, isFullRange ? 0 : base, m_asOf, {}};
    for (const auto &[key, item] : m_items) {
        if (item.revision > update.base)
            update.items.push_back(item);
    }
    for (const auto &[key, removal] : m_removed) {
        if (!isFullRange && removal > base)
            update.items.push_back({key, "", removal, true});
    }
    return update;
}

std::vector<StoreItem> PrefixFollower::onListPage(const StorePage &page)
{
    // Keys may change while the pages are read. The watch starts at the revision of the first page
    // and so returns all changes since, including those between two pages.
    if (m_listAsOf == 0)
        m_listAsOf = page.asOf;
    for (const StoreItem &item : page.items)
        m_listed.insert(item.key);
    std::vector<StoreItem> items = page.items;
    dropObsolete(items);
    std::vector<StoreItem> changes = apply(items);
    if (page.hasMore && !page.items.empty()) {
        m_after = page.items.back().key;
        return changes;
    }
    for (StoreItem &item : removeUnlistedKeys(m_listed, m_listAsOf, page.asOf == m_listAsOf))
        changes.push_back(std::move(item));
    m_pagesAsOf = page.asOf;
    m_asOf = m_listAsOf;
    m_complete = true;
    restartListing();
    m_watching = true;
    return changes;
}

std::vector<StoreItem> PrefixFollower::removeUnlistedKeys(const std::set<std::string> &listed,
                                                          std::uint64_t asOf, bool snapshot)
{
    std::vector<StoreItem> removals;
    for (const auto &[key, item] : m_items) {
        // A key with a later revision was written while the pages were read.
        const bool isLost = eraOf(item.revision) < eraOf(asOf);
        if (listed.count(key) == 0 && item.revision <= asOf)
            removals.push_back({key, "", asOf, true, isLost});
    }
    // What others know of an earlier era has to be replaced as a whole.
    const bool isSameEra = eraOf(m_asOf) == eraOf(asOf);
    const bool isGapKnown = m_complete && snapshot && m_asOf >= m_pagesAsOf && isSameEra;
    if (isGapKnown) {
        m_removedSince = std::max(m_removedSince, m_gapEnd);
        m_gapStart = m_asOf;
        m_gapEnd = asOf;
    } else {
        m_removed.clear();
        m_removedSince = asOf;
        m_gapStart = m_gapEnd = 0;
    }
    // Other instances may know keys that were written and removed again while this one did not
    // watch.
    m_lastChange = std::max(m_lastChange, asOf);
    return apply(removals);
}

// A write of the copy has the number that it had in the era before. A new write of the key has
// another one, unless the removed write was lost too and its number was given out again; it is then
// used once it changes.
void PrefixFollower::dropObsolete(std::vector<StoreItem> &items) const
{
    std::erase_if(items, [this](const StoreItem &item) {
        const auto removed = m_removedWrites.find(item.key);
        return removed != m_removedWrites.end() && eraOf(item.revision) > eraOf(removed->second)
            && numberOf(item.revision) == numberOf(removed->second);
    });
}

std::vector<StoreItem> PrefixFollower::apply(const std::vector<StoreItem> &items)
{
    std::map<std::string, StoreItem> latest;
    for (const StoreItem &item : items) {
        m_lastChange = std::max(m_lastChange, item.revision);
        const auto known = m_items.find(item.key);
        // A delayed response must not restore an older value.
        if (known != m_items.end() && item.revision <= known->second.revision)
            continue;
        if (item.deleted)
            recordRemoval(item);
        if (item.deleted && known == m_items.end() && latest.count(item.key) == 0)
            continue;
        auto &kept = latest[item.key];
        if (kept.revision <= item.revision)
            kept = item;
    }
    std::vector<StoreItem> changes;
    for (auto &[key, item] : latest) {
        if (item.deleted) {
            m_items.erase(key);
        } else {
            m_items[key] = item;
            m_removed.erase(key);
            m_removedWrites.erase(key);
        }
        changes.push_back(std::move(item));
    }
    std::sort(changes.begin(), changes.end(),
              [](const StoreItem &a, const StoreItem &b) { return a.revision < b.revision; });
    return changes;
}

// Records the removal even if the key was unknown here, as another instance may know it.
void PrefixFollower::recordRemoval(const StoreItem &item)
{
    const auto known = m_items.find(item.key);
    if (known != m_items.end() && !item.lost) {
        m_removedWrites[item.key] = known->second.revision;
        dropOldest(m_removedWrites);
    }
    auto &removal = m_removed[item.key];
    removal = std::max(removal, item.revision);
    if (const auto dropped = dropOldest(m_removed))
        m_removedSince = std::max(m_removedSince, *dropped);
}

std::optional<std::uint64_t>
PrefixFollower::dropOldest(std::map<std::string, std::uint64_t> &revisions) const
{
    if (revisions.size() <= m_limits.maxRemovals)
        return std::nullopt;
    const auto oldest
        = std::min_element(revisions.begin(), revisions.end(),
                           [](const auto &a, const auto &b) { return a.second < b.second; });
    const std::uint64_t dropped = oldest->second;
    revisions.erase(oldest);
    return dropped;
}

std::vector<RangeUpdate> updatesFromResponse(const std::string &prefix, std::uint64_t base,
                                             bool watched, const PrefixFollower &follower,
                                             const StorePage &page)
{
    if (page.status != StoreStatus::ok || !follower.isWatching() || base == 0)
        return {};
    if (watched)
        return updatesFromWatch(prefix, base, follower.asOf(), page.items);
    const auto update = follower.updateSince(prefix, base);
    if (!update)
        return {};
    return {makeRangeUpdate(prefix, update->base, update->asOf, update->items)};
}

} // namespace ibisnotch
