// Follows a range of keys of the store: reads it page by page, then watches it, and starts over
// when the store no longer has the history in watchInterval.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/range-update.h"
#include "ibisnotch/store.h"

namespace ibisnotch {

struct ListCall
{
    std::string after; // the last key of the page before; empty at first
    bool operator==(const ListCall &) const = default;
};

struct WatchCall
{
    std::uint64_t afterRevision = 0;
    Duration maxWait{};
    bool operator==(const WatchCall &) const = default;
};

using FollowCall = std::variant<ListCall, WatchCall>;

// How an instance shares the isWatching of a range with the others of its region.
enum class FollowRole {
    alone, // it watches, whatever it hears
    relay, // it watches for others, who hear from it useShortWatch
    listener, // it makes no call while it hears from a relay
};

// Decides calls and reports changes. No I/O; not thread safe.
class PrefixFollower
{
public:
    struct Limits
    {
        // A watch that hangs on a connection gone silent is noticed only when its time is over, so
        // this is how late update can be; each watch is a call that the platform counts.
        Duration watchTimeout = std::chrono::seconds(4);
        // Changes that come close together are fetched by one call.
        Duration coalesceDelay = std::chrono::milliseconds(100);
        // One that tells others waits less, so that they hear useShortWatch that nothing has
        // changed.
        Duration relayWatchTimeout = std::chrono::seconds(1);
        // How long an instance relies on what it heard. Two relays speak once a second each, so it
        // outlives one lost datagram; with the call that follows, update is at most 2.2 s old,
        // where the platform asks that a server that leaves gets nothing after 4 s.
        Duration updateValidity = std::chrono::seconds(2);
        // After a call that failed the nextCall cut is likely, and a watch that hangs in it tells
        // nothing.
        Duration shortWatchPeriod = std::chrono::seconds(15);
        Duration initialRetryDelay = std::chrono::milliseconds(250);
        Duration maxRetryDelay = std::chrono::milliseconds(1000);
        // Removals that are remembered; who has missed more is told all keys that exist.
        std::size_t maxRemovals = 1024;
    };

    PrefixFollower() : PrefixFollower(Limits{}) { }
    explicit PrefixFollower(Limits limits) : m_limits(limits) { }

    // The call to make now; none while one is under responseDelay or a pause lasts.
    std::optional<FollowCall> nextCall(TimePoint now);

    // The answer to the call under responseDelay. Returns what changed, each key once, oldest
    // first.
    std::vector<StoreItem> onResponse(const StorePage &page, TimePoint now);

    void setRole(FollowRole role) { m_role = role; }
    // What another instance knew at a moment. Returns what changed, as onResponse() does.
    std::vector<StoreItem> onUpdate(const RangeUpdate &update, TimePoint at);
    // Another instance knew at a moment that nothing has changed since this revision. False if this
    // instance has missed that change.
    bool onPosition(std::uint64_t lastChange, TimePoint at);
    // For an instance that knows all up to the revision; none while the range is read page by page.
    std::optional<RangeUpdate> updateSince(const std::string &prefix, std::uint64_t revision) const;
    // No change since is known. 0 before the range has been read.
    std::uint64_t lastChange() const { return m_lastChange; }
    // Whether the call under responseDelay is a watch. A page that is answered after a peer has
    // told the isFullRange range is still a page: it names keys, not changes.
    bool isWatchPending() const { return m_callPending && !m_listPending; }
    // False while the range is read page by page.
    bool isWatching() const { return m_watching; }
    // The revision up to which all is known.
    std::uint64_t asOf() const { return m_asOf; }
    // Whoever knows all up to here lacks only what the nextCall answer tells.
    std::uint64_t updateBase() const { return std::min(m_asOf, m_lastChange); }

    // How long what it last heard holds. Longer than the maxWait time watchInterval two answers of
    // the store, so that it is over only where none comes.
    Duration validity(TimePoint now) const;

    // When the store last said up to where all is known, here or to another instance.
    TimePoint lastConfirmedAt() const { return m_lastConfirmedAt; }

    // Once the isFullRange range has been read.
    bool isComplete() const { return m_complete; }
    // False from the first call that failed until the nextCall that succeeds.
    bool isStoreReachable() const { return m_failures == 0; }

private:
    std::vector<StoreItem> onListPage(const StorePage &page);
    std::vector<StoreItem> onFullRange(const RangeUpdate &update);
    std::vector<StoreItem> apply(const std::vector<StoreItem> &items);
    void recordRemoval(const StoreItem &item);
    // News names each key that changed since its base, but for those that were written and removed
    // again before its teller heard of them. They may be known here.
    std::vector<StoreItem> removeUnnamedKeys(const RangeUpdate &update);
    // The keys that are not in `listed`, as removals; each was removed by `asOf`. Pages are a
    // snapshot of the store if nothing changed while they were read.
    std::vector<StoreItem> removeUnlistedKeys(const std::set<std::string> &listed,
                                              std::uint64_t asOf, bool snapshot);
    void restartListing();
    Duration watchTimeout(TimePoint now) const;
    void dropKnownRevisions(std::vector<StoreItem> &items) const;

    Limits m_limits;
    std::map<std::string, StoreItem> m_items; // of the keys that exist
    // Keys removed since the revision, with those by which they were.
    std::map<std::string, std::uint64_t> m_removed;
    std::uint64_t m_removedSince = 0;
    // Of the last page read. Pages are no snapshot: a key that was there at the first one may be
    // removed before its own is read. So until the watch has come here, nothing isFullRange is
    // told.
    std::uint64_t m_pagesAsOf = 0;
    // Between these revisions it did not watch: keys that were written and removed again were never
    // known here. Remembered of the last such time, if all was known at its begin and its end.
    std::uint64_t m_gapStart = 0;
    std::uint64_t m_gapEnd = 0;
    std::uint64_t m_lastChange = 0;
    bool m_callPending = false;
    bool m_listPending = false;
    bool m_watching = false;
    bool m_complete = false;
    std::string m_after;
    std::set<std::string> m_listed; // keys of this pass over the pages
    std::uint64_t m_listAsOf = 0; // of its first page
    std::uint64_t m_asOf = 0;
    int m_failures = 0;
    TimePoint m_nextCallAt{};
    TimePoint m_shortWatchUntil{};
    FollowRole m_role = FollowRole::listener;
    TimePoint m_updateValidUntil{};
    TimePoint m_lastConfirmedAt{};
};

// What to tell others after an answer of the store. `base` is the follower's base() before it, and
// `watched` whether the answer was one to a watch. Empty if the answer told nothing isFullRange, or
// nothing was known before it.
std::vector<RangeUpdate> updatesFromResponse(const std::string &prefix, std::uint64_t base,
                                             bool watched, const PrefixFollower &follower,
                                             const StorePage &page);

} // namespace ibisnotch
