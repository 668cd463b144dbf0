// Follows a range of store keys: lists it page by page, then watches it for changes, and lists it
// again when the store no longer has the history since the last known revision.
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
    std::string after; // last key of the previous page; empty for the first page
    bool operator==(const ListCall &) const = default;
};

struct WatchCall
{
    std::uint64_t afterRevision = 0;
    Duration maxWait{};
    bool operator==(const WatchCall &) const = default;
};

using FollowCall = std::variant<ListCall, WatchCall>;

// How an instance shares the watching of a range with the other instances of its region.
enum class FollowRole {
    alone, // watches the range whatever other instances send
    relay, // watches the range and sends updates to the other instances
    listener, // makes no calls while updates of a relay arrive
};

// Decides which store calls to make and reports changes. Does no I/O; not thread safe.
class PrefixFollower
{
public:
    struct Limits
    {
        // A watch on a connection that no longer responds fails only after this time, so it limits
        // how outdated the known keys may be. A shorter time costs more calls: the platform counts
        // each watch as one.
        Duration watchTimeout = std::chrono::seconds(4);
        // Delay before the next watch after a change, so that one call fetches several changes.
        Duration coalesceDelay = std::chrono::milliseconds(100);
        // Relays use shorter watches, so that listeners often receive that nothing has changed.
        Duration relayWatchTimeout = std::chrono::seconds(1);
        // Time for which a listener treats what it received as current. Two relays send once per
        // second each, so one lost datagram is tolerated. With the call that follows, changes are
        // known after 2.2 s at most; the platform requires that a leaving backend server gets no
        // requests after 4 s.
        Duration updateValidity = std::chrono::seconds(2);
        // Time after a failed call in which short watches are used: another outage is likely, and a
        // long watch that hangs during it would return nothing.
        Duration shortWatchPeriod = std::chrono::seconds(15);
        Duration initialRetryDelay = std::chrono::milliseconds(250);
        Duration maxRetryDelay = std::chrono::milliseconds(1000);
        // Number of removals kept; an instance that has missed older ones is sent the full range.
        std::size_t maxRemovals = 1024;
    };

    PrefixFollower() : PrefixFollower(Limits{}) { }
    explicit PrefixFollower(Limits limits) : m_limits(limits) { }

    // Returns the store call to make now, or nothing while one is pending or a delay has not
    // passed.
    std::optional<FollowCall> nextCall(TimePoint now);

    // Called with the response to the pending call. Returns the changes, each key once, oldest
    // first.
    std::vector<StoreItem> onResponse(const StorePage &page, TimePoint now);

    // Called when the store has come back from a copy and is in this era now. What was known stays
    // until the range has been listed anew, first after `delay`. Returns true if it has to be; the
    // response to a pending call must then not be passed on.
    bool startEra(std::uint64_t era, TimePoint now, Duration delay);

    void setRole(FollowRole role) { m_role = role; }
    // Called with an update of another instance and the time at which it was current. Returns the
    // changes, like onResponse().
    std::vector<StoreItem> onUpdate(const RangeUpdate &update, TimePoint at);
    // Called when another instance knew at the given time of no change after revision `lastChange`.
    // Returns false if this instance has missed that change.
    bool onPosition(std::uint64_t lastChange, TimePoint at);
    // Returns an update for an instance that knows all changes up to the revision, or nothing while
    // the range is being listed.
    std::optional<RangeUpdate> updateSince(const std::string &prefix, std::uint64_t revision) const;
    // Returns the revision of the last known change, 0 before the range has been listed.
    std::uint64_t lastChange() const { return m_lastChange; }
    // Returns true if the pending call is a watch. A pending listing remains a listing even if a
    // peer sends the full range meanwhile: its response contains keys, not changes.
    bool isWatchPending() const { return m_callPending && !m_listPending; }
    // Returns whether the update, which has not been applied yet, may hide what was written since
    // the known revision: it tells the whole range, or removes a key that is unknown.
    bool hidesAWrite(const RangeUpdate &update) const;
    // Returns false while the range is being listed.
    bool isWatching() const { return m_watching; }
    // Returns the revision up to which all changes are known.
    std::uint64_t asOf() const { return m_asOf; }
    // Returns the base for the update that is made from the next response. An instance that knows
    // all changes up to this revision can apply that update.
    std::uint64_t updateBase() const { return std::min(m_asOf, m_lastChange); }

    // Returns how long the known state counts as current after it was confirmed. It is longer than
    // the longest time between two responses of the store, so it expires only if none arrives.
    Duration validity(TimePoint now) const;

    // Returns when the store last confirmed the known revision, to this or another instance.
    TimePoint lastConfirmedAt() const { return m_lastConfirmedAt; }

    // Returns true once the whole range has been read.
    bool isComplete() const { return m_complete; }
    // Returns false from a failed call until the next successful one.
    bool isStoreReachable() const { return m_failures == 0; }

private:
    std::vector<StoreItem> onListPage(const StorePage &page);
    std::vector<StoreItem> onFullRange(const RangeUpdate &update);
    std::vector<StoreItem> apply(const std::vector<StoreItem> &items);
    void recordRemoval(const StoreItem &item);
    // Keeps a map within Limits::maxRemovals. Returns the revision of the entry that was dropped.
    std::optional<std::uint64_t> dropOldest(std::map<std::string, std::uint64_t> &revisions) const;
    // Removes the known keys that changed since the base of the update but are missing in it. An
    // update contains each key that changed since its base, except keys that were written and
    // removed again before its sender received them; this instance may know those.
    std::vector<StoreItem> removeUnnamedKeys(const RangeUpdate &update);
    // Removes the known keys that are not in `listed`; each was removed by revision `asOf`.
    // `snapshot` is true if the listing is a snapshot of the store, as nothing changed during it.
    std::vector<StoreItem> removeUnlistedKeys(const std::set<std::string> &listed,
                                              std::uint64_t asOf, bool snapshot);
    // Removes listed writes that are known to have been removed before the store went back to them.
    void dropObsolete(std::vector<StoreItem> &items) const;
    void restartListing();
    Duration watchTimeout(TimePoint now) const;
    void dropKnownRevisions(std::vector<StoreItem> &items) const;

    Limits m_limits;
    std::map<std::string, StoreItem> m_items; // existing keys
    // Keys removed after revision m_removedSince, with the revision of their removal.
    std::map<std::string, std::uint64_t> m_removed;
    // The writes that were removed, of any era, by key. At most as many as in m_removed.
    std::map<std::string, std::uint64_t> m_removedWrites;
    std::uint64_t m_eraStart = 0; // revisions below are of an earlier era than the store's
    std::uint64_t m_removedSince = 0;
    // Revision of the last listed page. Pages are no snapshot: a key that exists when the first
    // page is read may be removed before its own page is. So no update is made until the watch has
    // reached this revision.
    std::uint64_t m_pagesAsOf = 0;
    // The last interval of revisions in which the range was not watched, so that keys which were
    // written and removed again are unknown. Kept if all changes were known at its start and end.
    std::uint64_t m_gapStart = 0;
    std::uint64_t m_gapEnd = 0;
    std::uint64_t m_lastChange = 0;
    bool m_callPending = false;
    bool m_listPending = false;
    bool m_watching = false;
    bool m_complete = false;
    std::string m_after;
    std::set<std::string> m_listed; // keys of the current listing
    std::uint64_t m_listAsOf = 0; // revision of its first page
    std::uint64_t m_asOf = 0;
    int m_failures = 0;
    TimePoint m_nextCallAt{};
    TimePoint m_shortWatchUntil{};
    FollowRole m_role = FollowRole::listener;
    TimePoint m_updateValidUntil{};
    TimePoint m_lastConfirmedAt{};
};

// Returns the updates to send to other instances after a response of the store. `base` is the
// follower's updateBase() before the response, and `watched` is true for the response to a watch.
// Empty if the response does not lead to a complete update or the range was unknown before.
std::vector<RangeUpdate> updatesFromResponse(const std::string &prefix, std::uint64_t base,
                                             bool watched, const PrefixFollower &follower,
                                             const StorePage &page);

} // namespace ibisnotch
