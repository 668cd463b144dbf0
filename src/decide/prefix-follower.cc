#include "ibisnotch/prefix-follower.h"

#include <algorithm>

namespace ibisnotch {

std::optional<FollowCall> PrefixFollower::next(TimePoint now)
{
    if (m_underWay || now < m_notBefore)
        return std::nullopt;
    if (m_watching && !m_relay && now < m_heardUntil)
        return std::nullopt;
    m_underWay = true;
    if (m_watching)
        return WatchCall{m_asOf, m_relay ? m_limits.relayWatchTime : m_limits.watchTime};
    return ListCall{m_after};
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
        // A page that was lost on the way is asked for again; the pass goes on.
        return {};
    }
    m_failures = 0;
    m_heardAt = now;
    if (!m_watching)
        return onList(page);
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

std::vector<StoreItem> PrefixFollower::onNews(const RangeNews &news, TimePoint now)
{
    if (!m_watching)
        return {};
    if (news.base > m_asOf) {
        m_heardUntil = now;
        return {};
    }
    if (news.asOf < m_asOf)
        return {};
    m_heardUntil = now + m_limits.newsLife;
    m_heardAt = now;
    std::vector<StoreItem> items = news.items;
    dropKnown(items);
    m_asOf = news.asOf;
    return apply(items);
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
    for (const auto &[key, revision] : m_revisions) {
        // A key that is newer than the first page was written while the pages were read.
        if (m_listed.count(key) == 0 && revision <= m_listAsOf)
            changes.push_back({key, "", revision, true});
    }
    for (const StoreItem &item : changes) {
        if (item.deleted)
            m_revisions.erase(item.key);
    }
    m_asOf = m_listAsOf;
    m_complete = true;
    startOver();
    m_watching = true;
    return changes;
}

std::vector<StoreItem> PrefixFollower::apply(const std::vector<StoreItem> &items)
{
    std::map<std::string, StoreItem> latest;
    for (const StoreItem &item : items) {
        const auto known = m_revisions.find(item.key);
        // An answer that took long on its way must not bring back an older value.
        const bool old = known != m_revisions.end() && item.revision <= known->second;
        if (old || (item.deleted && known == m_revisions.end() && latest.count(item.key) == 0))
            continue;
        auto &kept = latest[item.key];
        if (kept.revision <= item.revision)
            kept = item;
    }
    std::vector<StoreItem> changes;
    for (auto &[key, item] : latest) {
        if (item.deleted)
            m_revisions.erase(key);
        else
            m_revisions[key] = item.revision;
        changes.push_back(std::move(item));
    }
    std::sort(changes.begin(), changes.end(),
              [](const StoreItem &a, const StoreItem &b) { return a.revision < b.revision; });
    return changes;
}

std::optional<RangeNews> newsOf(const std::string &prefix, std::uint64_t base, bool watched,
                                const PrefixFollower &follower, const StorePage &page)
{
    if (page.end != StoreEnd::ok || !follower.watching())
        return std::nullopt;
    if (!watched)
        return RangeNews{prefix, follower.asOf(), follower.asOf(), {}};
    return makeNews(prefix, base, follower.asOf(), page.items);
}

} // namespace ibisnotch
