#include "ibisnotch/prefix-follower.h"

#include <algorithm>

namespace ibisnotch {

std::optional<FollowCall> PrefixFollower::next(TimePoint now)
{
    if (m_underWay || now < m_notBefore)
        return std::nullopt;
    if (m_watching && m_role == FollowRole::listener && now < m_heardUntil)
        return std::nullopt;
    m_underWay = true;
    m_listUnderWay = !m_watching;
    if (!m_watching)
        return ListCall{m_after};
    return WatchCall{m_asOf, watchTime(now)};
}

Duration PrefixFollower::watchTime(TimePoint now) const
{
    const bool often = m_role == FollowRole::relay || now < m_waryUntil;
    return often ? m_limits.relayWatchTime : m_limits.watchTime;
}

Duration PrefixFollower::life(TimePoint now) const
{
    constexpr Duration way = std::chrono::seconds(1); // of an answer, and of what a peer tells
    const Duration between = now < m_waryUntil ? m_limits.relayWatchTime : m_limits.watchTime;
    return between + way;
}

void PrefixFollower::startOver()
{
    m_watching = false;
    m_after.clear();
    m_listed.clear();
    m_listAsOf = 0;
}

std::vector<StoreItem> PrefixFollower::onAnswer(const StorePage &page, TimePoint now)
{
    m_underWay = false;
    if (page.end == StoreEnd::historyLost) {
        startOver();
        return {};
    }
    if (page.end != StoreEnd::ok) {
        const Duration pause = m_limits.firstPause * (1 << std::min(m_failures, 4));
        m_notBefore = now + std::min(pause, m_limits.longestPause);
        ++m_failures;
        m_waryUntil = now + m_limits.waryTime;
        // A page that was lost on the way is asked for again; the pass goes on.
        return {};
    }
    m_failures = 0;
    m_heardAt = now;
    if (!m_watching) {
        m_heardUntil = now + m_limits.newsLife;
        return onList(page);
    }
    // Another instance told the whole range while a page of it was under way. A page does not name
    // the keys that were removed since.
    if (m_listUnderWay)
        return {};
    m_notBefore = page.items.empty() ? now : now + m_limits.gather;
    std::vector<StoreItem> items = page.items;
    dropKnown(items);
    m_asOf = std::max(m_asOf, page.asOf);
    return apply(items);
}

// What was heard of meanwhile. A key that was written and removed again is known as removed; the
// write, coming late, would bring it back for good.
void PrefixFollower::dropKnown(std::vector<StoreItem> &items) const
{
    std::erase_if(items, [this](const StoreItem &item) { return item.revision <= m_asOf; });
}

std::vector<StoreItem> PrefixFollower::onNews(const RangeNews &news, TimePoint at)
{
    if (news.base == 0 && (news.asOf > m_asOf || !m_watching)) {
        m_heardAt = std::max(m_heardAt, at);
        return onWhole(news);
    }
    if (!m_watching)
        return {};
    if (news.base > m_asOf) {
        m_heardUntil = at;
        return {};
    }
    if (news.asOf < m_asOf)
        return {};
    m_heardUntil = at + m_limits.newsLife;
    m_heardAt = std::max(m_heardAt, at);
    std::vector<StoreItem> items = news.items;
    dropKnown(items);
    std::vector<StoreItem> changes = apply(items);
    for (StoreItem &item : removeUnnamed(news))
        changes.push_back(std::move(item));
    m_asOf = news.asOf;
    return changes;
}

std::vector<StoreItem> PrefixFollower::removeUnnamed(const RangeNews &news)
{
    std::map<std::string, std::uint64_t> named; // with the last change that is told
    for (const StoreItem &item : news.items)
        named[item.key] = std::max(named[item.key], item.revision);
    std::vector<StoreItem> removals;
    for (const auto &[key, item] : m_items) {
        const bool changedSince = item.revision > news.base && item.revision <= news.asOf;
        if (changedSince && named[key] < item.revision)
            removals.push_back({key, "", news.asOf, true});
    }
    return apply(removals);
}

std::vector<StoreItem> PrefixFollower::onWhole(const RangeNews &news)
{
    // What was read itself before the reading was broken off may be newer.
    if (news.asOf < m_asOf)
        return {};
    std::set<std::string> listed;
    for (const StoreItem &item : news.items)
        listed.insert(item.key);
    std::vector<StoreItem> changes = apply(news.items);
    for (StoreItem &item : removeOthers(listed, news.asOf, true))
        changes.push_back(std::move(item));
    m_pagesAsOf = news.asOf;
    m_asOf = news.asOf;
    m_complete = true;
    startOver();
    m_watching = true;
    return changes;
}

bool PrefixFollower::onMark(std::uint64_t lastChange, TimePoint at)
{
    if (!m_watching || lastChange > m_asOf)
        return lastChange == 0;
    m_heardAt = std::max(m_heardAt, at);
    m_heardUntil = std::max(m_heardUntil, at + m_limits.newsLife);
    return true;
}

std::optional<RangeNews> PrefixFollower::newsSince(const std::string &prefix,
                                                   std::uint64_t revision) const
{
    if (!m_watching || m_asOf < m_pagesAsOf)
        return std::nullopt;
    const bool blind = revision >= m_blindFrom && revision < m_blindUntil;
    const std::uint64_t base = blind ? m_blindFrom : revision;
    const bool whole = base < m_removedSince;
    RangeNews news{prefix, whole ? 0 : base, m_asOf, {}};
    for (const auto &[key, item] : m_items) {
        if (item.revision > news.base)
            news.items.push_back(item);
    }
    for (const auto &[key, removal] : m_removed) {
        if (!whole && removal > base)
            news.items.push_back({key, "", removal, true});
    }
    return news;
}

std::vector<StoreItem> PrefixFollower::onList(const StorePage &page)
{
    // Pages are read one after the other while keys change. Watching from the first page's revision
    // repeats what changed since, so nothing is missed between two pages.
    if (m_listAsOf == 0)
        m_listAsOf = page.asOf;
    for (const StoreItem &item : page.items)
        m_listed.insert(item.key);
    std::vector<StoreItem> changes = apply(page.items);
    if (page.more && !page.items.empty()) {
        m_after = page.items.back().key;
        return changes;
    }
    for (StoreItem &item : removeOthers(m_listed, m_listAsOf, page.asOf == m_listAsOf))
        changes.push_back(std::move(item));
    m_pagesAsOf = page.asOf;
    m_asOf = m_listAsOf;
    m_complete = true;
    startOver();
    m_watching = true;
    return changes;
}

std::vector<StoreItem> PrefixFollower::removeOthers(const std::set<std::string> &listed,
                                                    std::uint64_t asOf, bool snapshot)
{
    std::vector<StoreItem> removals;
    for (const auto &[key, item] : m_items) {
        // A key that is newer was written while the others were read.
        if (listed.count(key) == 0 && item.revision <= asOf)
            removals.push_back({key, "", asOf, true});
    }
    const bool knowsGap = m_complete && snapshot && m_asOf >= m_pagesAsOf;
    if (knowsGap) {
        m_removedSince = std::max(m_removedSince, m_blindUntil);
        m_blindFrom = m_asOf;
        m_blindUntil = asOf;
    } else {
        m_removed.clear();
        m_removedSince = asOf;
        m_blindFrom = m_blindUntil = 0;
    }
    // Others may know keys that were written and removed again since this instance last heard.
    m_lastChange = std::max(m_lastChange, asOf);
    return apply(removals);
}

std::vector<StoreItem> PrefixFollower::apply(const std::vector<StoreItem> &items)
{
    std::map<std::string, StoreItem> latest;
    for (const StoreItem &item : items) {
        m_lastChange = std::max(m_lastChange, item.revision);
        const auto known = m_items.find(item.key);
        // An answer that took long on its way must not bring back an older value.
        if (known != m_items.end() && item.revision <= known->second.revision)
            continue;
        if (item.deleted)
            noteRemoved(item);
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
        }
        changes.push_back(std::move(item));
    }
    std::sort(changes.begin(), changes.end(),
              [](const StoreItem &a, const StoreItem &b) { return a.revision < b.revision; });
    return changes;
}

// Also of a key that was not known here; another instance may know it.
void PrefixFollower::noteRemoved(const StoreItem &item)
{
    auto &removal = m_removed[item.key];
    removal = std::max(removal, item.revision);
    if (m_removed.size() <= m_limits.mostRemoved)
        return;
    const auto oldest
        = std::min_element(m_removed.begin(), m_removed.end(),
                           [](const auto &a, const auto &b) { return a.second < b.second; });
    m_removedSince = std::max(m_removedSince, oldest->second);
    m_removed.erase(oldest);
}

std::vector<RangeNews> newsOf(const std::string &prefix, std::uint64_t base, bool watched,
                              const PrefixFollower &follower, const StorePage &page)
{
    if (page.end != StoreEnd::ok || !follower.watching() || base == 0)
        return {};
    if (watched)
        return newsOfWatch(prefix, base, follower.asOf(), page.items);
    const auto news = follower.newsSince(prefix, base);
    if (!news)
        return {};
    return {makeNews(prefix, news->base, news->asOf, news->items)};
}

} // namespace ibisnotch
