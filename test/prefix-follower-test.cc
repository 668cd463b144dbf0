#include "ibisnotch/prefix-follower.h"

#include <array>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct FollowerFixture
{
    TimePoint now{10s};
    PrefixFollower follower;

    std::vector<StoreItem> answer(StorePage page)
    {
        REQUIRE(follower.nextCall(now));
        const auto changes = follower.onResponse(page, now);
        now += 2s;
        return changes;
    }

    static StorePage page(std::vector<StoreItem> items, std::uint64_t asOf, bool more = false)
    {
        return {StoreStatus::ok, std::move(items), more, asOf};
    }

    static StorePage failed(StoreStatus status) { return {status, {}, false, 0}; }
};

// A store with random writes and removals, listed in pages of two keys.
struct StoreModel
{
    std::map<std::string, StoreItem> items;
    std::vector<StoreItem> log;
    std::uint64_t revision = 1;

    void writeRandomly()
    {
        for (int writes = *rc::gen::inRange(0, 3); writes > 0; --writes)
            write();
    }

    void write()
    {
        const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 6)));
        const bool isRemoval = *rc::gen::inRange(0, 3) == 0;
        if (isRemoval && items.erase(key) == 0)
            return;
        const StoreItem item{key, isRemoval ? "" : std::to_string(revision), ++revision, isRemoval};
        if (!isRemoval)
            items[key] = item;
        log.push_back(item);
    }

    StorePage answer(const FollowCall &call) const
    {
        StorePage page{StoreStatus::ok, {}, false, revision};
        if (const auto *watch = std::get_if<WatchCall>(&call)) {
            for (const StoreItem &item : log) {
                if (item.revision > watch->afterRevision)
                    page.items.push_back(item);
            }
            return page;
        }
        const auto &after = std::get<ListCall>(call).after;
        for (auto it = after.empty() ? items.begin() : items.upper_bound(after); it != items.end();
             ++it) {
            page.hasMore = page.items.size() == 2;
            if (page.hasMore)
                break;
            page.items.push_back(it->second);
        }
        return page;
    }

    std::map<std::string, std::string> values() const
    {
        std::map<std::string, std::string> result;
        for (const auto &[key, item] : items)
            result[key] = item.value;
        return result;
    }
};

// A follower and the keys that its reported changes lead to.
struct Followed
{
    PrefixFollower follower{};
    std::map<std::string, std::string> keys;

    void apply(const std::vector<StoreItem> &changes)
    {
        for (const StoreItem &item : changes) {
            if (item.deleted)
                keys.erase(item.key);
            else
                keys[item.key] = item.value;
        }
    }
};

StorePage withRandomFailure(StorePage page)
{
    const int choice = *rc::gen::inRange(0, 10);
    if (choice == 0)
        return {StoreStatus::unknown, {}, false, 0};
    if (choice == 1)
        return {StoreStatus::historyLost, {}, false, 0};
    return page;
}

} // namespace

TEST_CASE_METHOD(FollowerFixture, "prefixFollower_ofTwoPages_watchesFromTheFirstPagesRevision")
{
    CHECK(follower.nextCall(now) == FollowCall(ListCall{""}));
    CHECK_FALSE(follower.nextCall(now));
    CHECK(follower.onResponse(page({{"a", "1", 3, false}}, 7, true), now).size() == 1);
    CHECK_FALSE(follower.isComplete());
    CHECK(follower.nextCall(now) == FollowCall(ListCall{"a"}));
    CHECK(follower.onResponse(page({{"b", "2", 9, false}}, 11), now).size() == 1);
    CHECK(follower.isComplete());
    // What was listed counts as current for as long as an update.
    CHECK_FALSE(follower.nextCall(now + 1900ms));
    const auto call = follower.nextCall(now + 2s);
    REQUIRE(call);
    CHECK(std::get<WatchCall>(*call).afterRevision == 7);
}

// Guards against requests to a backend server that has left: its entry is removed after the store
// has lost its history, so that only the comparison with the new listing shows the removal.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_historyLost_reportsKeysRemovedMeanwhile")
{
    answer(page({{"a", "1", 3, false}, {"b", "1", 4, false}}, 5));
    CHECK(answer(failed(StoreStatus::historyLost)).empty());
    const auto changes = answer(page({{"b", "1", 4, false}}, 20));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0] == StoreItem{"a", "", 20, true});
}

TEST_CASE_METHOD(FollowerFixture, "prefixFollower_olderValueArrivingLate_isIgnored")
{
    answer(page({{"a", "new", 9, false}}, 9));
    CHECK(answer(page({{"a", "old", 4, false}}, 9)).empty());
    CHECK(answer(page({{"a", "newer", 12, false}}, 12)).size() == 1);
    CHECK(answer(page({{"a", "", 13, true}}, 13)).size() == 1);
}

TEST_CASE_METHOD(FollowerFixture, "prefixFollower_storeUnreachable_retriesWithIncreasingDelays")
{
    REQUIRE(follower.nextCall(now));
    follower.onResponse(failed(StoreStatus::unknown), now);
    CHECK_FALSE(follower.isStoreReachable());
    CHECK_FALSE(follower.nextCall(now + 200ms));
    REQUIRE(follower.nextCall(now + 260ms));
    follower.onResponse(failed(StoreStatus::notApplied), now + 260ms);
    CHECK_FALSE(follower.nextCall(now + 600ms));
    REQUIRE(follower.nextCall(now + 800ms));
    follower.onResponse(page({}, 1), now + 800ms);
    CHECK(follower.isStoreReachable());
}

// Guards against detecting late that backend servers became cold, in a region that is isolated
// again soon after an outage of the store: a watch of four seconds would hang that long before the
// servers are checked.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_callFailed_usesShortWatchesAndShorterValidity")
{
    follower.setRole(FollowRole::alone);
    answer(page({}, 7));
    CHECK(follower.validity(now) == 5s);
    answer(failed(StoreStatus::unknown));
    CHECK(follower.validity(now) == 2s);
    const auto call = follower.nextCall(now);
    REQUIRE(call);
    CHECK(std::get<WatchCall>(*call).maxWait == 1s);
    CHECK(follower.validity(now + 20s) == 5s);
}

// Guards against needless store calls: a listener that receives consecutive updates of a relay
// makes none, and watches the range itself once they stop.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_receivesUpdates_callsTheStoreOnlyOnceTheyStop")
{
    answer(page({{"a", "1", 3, false}}, 5));
    CHECK(follower.onUpdate({"", 5, 8, {{"b", "2", 7, false}}}, now).size() == 1);
    CHECK_FALSE(follower.nextCall(now + 1900ms));
    CHECK(follower.onUpdate({"", 8, 8, {}}, now + 1900ms).empty());
    CHECK_FALSE(follower.nextCall(now + 3800ms));
    const auto call = follower.nextCall(now + 3900ms);
    REQUIRE(call);
    CHECK(std::get<WatchCall>(*call).afterRevision == 8);
}

// Guards against requests to a backend server that has left when the update with its removal is
// lost. The next update starts at a later revision than the known one, which shows the gap.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_updateWithAGap_callsTheStoreAtOnce")
{
    answer(page({{"a", "1", 3, false}}, 5));
    follower.onUpdate({"", 5, 6, {}}, now);
    CHECK_FALSE(follower.nextCall(now));
    CHECK(follower.onUpdate({"", 7, 9, {{"c", "2", 9, false}}}, now).empty());
    const auto call = follower.nextCall(now);
    REQUIRE(call);
    CHECK(std::get<WatchCall>(*call).afterRevision == 6);
}

// Guards against requests to a backend server that has left: an update reports that a key was
// written and removed, and then the response to an earlier watch contains the write alone.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_lateResponseAfterUpdate_restoresNoKey")
{
    answer(page({{"a", "1", 3, false}}, 5));
    REQUIRE(follower.nextCall(now));
    CHECK(follower.onUpdate({"", 5, 9, {{"b", "", 9, true}, {"a", "", 8, true}}}, now).size() == 1);
    CHECK(follower.onResponse(page({{"b", "2", 7, false}}, 7), now).empty());
    CHECK(follower.asOf() == 9);
}

// Guards against all instances calling the store at once when it has lost its history, and against
// keeping a server that registered and left meanwhile, whose removal the relay cannot know.
TEST_CASE_METHOD(FollowerFixture,
                 "updatesFromResponse_rangeListedAgain_updatesOthersWithoutTheStore")
{
    const StorePage first = page({{"a", "1", 3, false}, {"b", "2", 4, false}}, 5);
    PrefixFollower other = follower;
    other.nextCall(now);
    other.onResponse(first, now);
    other.onUpdate({"", 5, 8, {{"left", "3", 7, false}}}, now);
    answer(first);
    answer(failed(StoreStatus::historyLost));
    const std::uint64_t base = follower.updateBase();
    const StorePage again = page({{"a", "4", 10, false}}, 12);
    answer(again);
    const auto updates = updatesFromResponse("", base, false, follower, again);
    REQUIRE(updates.size() == 1);
    CHECK(other.onUpdate(updates[0], now).size() == 3);
    CHECK(other.asOf() == 12);
    CHECK_FALSE(other.nextCall(now));
    const auto known = other.updateSince("", 0);
    REQUIRE(known);
    CHECK(known->items == std::vector<StoreItem>{{"a", "4", 10, false}});
    CHECK(updatesFromResponse("", base, true, follower, failed(StoreStatus::unknown)).empty());
    CHECK(updatesFromResponse("", 0, false, follower, again).empty());
}

// Guards against removing existing servers: if a listed page is sent as if it contained all
// changes, receivers remove the keys that it does not contain.
TEST_CASE_METHOD(FollowerFixture, "updatesFromResponse_pageAfterAPeerSentTheRange_removesNothing")
{
    std::vector<StoreItem> items;
    for (std::uint64_t i = 0; i < 50; ++i)
        items.push_back({std::to_string(100 + i), std::string(250, 'x'), 11 + i * 7 % 50, false});
    PrefixFollower other = follower;
    other.onUpdate({"", 0, 60, items}, now);
    REQUIRE(follower.nextCall(now));
    follower.onUpdate({"", 0, 60, items}, now);
    const std::uint64_t base = follower.updateBase();
    const bool watched = follower.isWatchPending();
    const StorePage late = page(items, 62);
    follower.onResponse(late, now);
    for (const RangeUpdate &update : updatesFromResponse("", base, watched, follower, late))
        CHECK(other.onUpdate(update, now).empty());
    const auto known = other.updateSince("", 0);
    REQUIRE(known);
    CHECK(known->items.size() == items.size());
}

// Guards against all instances calling the store after a burst of changes, as when the backend
// servers of a data centre return.
TEST_CASE_METHOD(FollowerFixture, "updatesFromWatch_moreChangesThanFitADatagram_areSplit")
{
    std::vector<StoreItem> changes;
    for (std::uint64_t i = 0; i < 50; ++i)
        changes.push_back({std::to_string(i), std::string(250, 'x'), 10 + i / 3, false});
    const auto pieces = updatesFromWatch("", 5, 60, changes);
    CHECK(pieces.size() > 1);
    answer(page({}, 7));
    std::size_t seen = 0;
    for (const RangeUpdate &piece : pieces)
        seen += follower.onUpdate(piece, now).size();
    CHECK(seen == changes.size());
    CHECK(follower.asOf() == 60);
    CHECK_FALSE(follower.nextCall(now));
    for (std::uint64_t i = 0; i < 100; ++i)
        changes.push_back({"s", std::string(250, 'x'), 50 + i, false});
    CHECK(updatesFromWatch("", 5, 200, changes) == std::vector<RangeUpdate>{{"", 200, 200, {}}});
}

// Guards against needless store calls while peers report that nothing has changed.
TEST_CASE_METHOD(FollowerFixture,
                 "prefixFollower_receivesPositionsOnly_callsTheStoreOnceTheyExpire")
{
    answer(page({{"a", "1", 3, false}}, 5));
    CHECK(follower.onPosition(5, now + 1s));
    CHECK_FALSE(follower.nextCall(now + 2900ms));
    CHECK(follower.nextCall(now + 3s));
}

// Guards against reporting an earlier last change after a listing, which does not contain the keys
// that were removed before it.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_rangeJustListed_hasItsRevisionAsLastChange")
{
    answer(page({{"a", "1", 3, false}}, 5));
    CHECK(follower.lastChange() == 5);
    CHECK(follower.updateBase() == 5);
}

TEST_CASE_METHOD(FollowerFixture,
                 "makeRangeUpdate_changeTooLargeForADatagram_makesOthersCallTheStore")
{
    answer(page({{"a", "1", 3, false}}, 5));
    follower.onUpdate({"", 5, 6, {}}, now);
    CHECK(
        follower.onUpdate(makeRangeUpdate("", 6, 7, {{"a", std::string(9000, 'x'), 7, false}}), now)
            .empty());
    CHECK(follower.nextCall(now));
}

// Guards against a list that counts as followed without a gap although a server came and went of
// which another instance tells the removal alone.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_updateRemovesAnUnknownKey_hidesAWrite")
{
    answer(page({{"a", "1", 5, false}}, 10));
    const auto hides = [this](std::uint64_t base, std::vector<StoreItem> items) {
        return follower.hidesAWrite({"", base, 14, std::move(items)});
    };
    CHECK(hides(10, {{"b", "", 12, true}}));
    CHECK_FALSE(hides(10, {{"a", "", 12, true}}));
    CHECK_FALSE(hides(10, {{"b", "2", 11, false}, {"b", "", 12, true}}));
    CHECK_FALSE(hides(8, {{"b", "", 9, true}}));
    CHECK_FALSE(hides(11, {{"b", "", 12, true}})); // not applied, as changes before it are missing
}

// The same if the other instance tells its whole list, which shows no removals at all.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_updateTellsTheWholeRange_hidesAWrite")
{
    const RangeUpdate whole{"", 0, 14, {{"a", "1", 5, false}}};
    CHECK_FALSE(follower.hidesAWrite(whole)); // nothing was known before
    answer(page({{"a", "1", 5, false}}, 10));
    CHECK(follower.hidesAWrite(whole));
    CHECK_FALSE(follower.hidesAWrite({"", 0, 10, {{"a", "1", 5, false}}})); // tells nothing new
}

// Random writes, removals, failed calls and lost history.
TEST_CASE("prefixFollower_anyHistory_endsWithTheStoresKeys")
{
    rc::prop("the followed keys are the store's", [] {
        StoreModel store;
        Followed followed;
        TimePoint now{1s};
        const auto step = [&](bool storeWorks) {
            now += 2s;
            const auto call = followed.follower.nextCall(now);
            RC_ASSERT(call.has_value());
            const StorePage page = store.answer(*call);
            followed.apply(
                followed.follower.onResponse(storeWorks ? page : withRandomFailure(page), now));
        };
        const int rounds = *rc::gen::inRange(5, 40);
        for (int i = 0; i < rounds; ++i) {
            store.writeRandomly();
            step(false);
        }
        for (int i = 0; i < 8; ++i)
            step(true);
        RC_ASSERT(followed.keys == store.values());
    });
}

// Guards against wrong keys at a listener when the updates of a relay are lost, duplicated or
// reordered and responses to its own calls arrive late.
TEST_CASE("prefixFollower_updatesLostDuplicatedAndLate_endsWithTheStoresKeys")
{
    rc::prop("the listener's keys are the store's", [] {
        StoreModel store;
        Followed relay;
        Followed listener;
        relay.follower.setRole(FollowRole::relay);
        std::vector<RangeUpdate> inTransit;
        std::optional<StorePage> listenerResponse; // not yet delivered
        TimePoint now{1s};
        const auto relayStep = [&] {
            const auto call = relay.follower.nextCall(now);
            if (!call)
                return;
            const std::uint64_t base = relay.follower.updateBase();
            const bool watched = relay.follower.isWatchPending();
            const StorePage page = withRandomFailure(store.answer(*call));
            relay.apply(relay.follower.onResponse(page, now));
            for (RangeUpdate &update : updatesFromResponse("", base, watched, relay.follower, page))
                inTransit.push_back(std::move(update));
        };
        const auto listenerStep = [&] {
            if (!listenerResponse) {
                if (const auto call = listener.follower.nextCall(now))
                    listenerResponse = withRandomFailure(store.answer(*call));
            } else if (*rc::gen::inRange(0, 2) == 0) {
                listener.apply(listener.follower.onResponse(*listenerResponse, now));
                listenerResponse.reset();
            }
        };
        const int rounds = *rc::gen::inRange(5, 60);
        for (int i = 0; i < rounds; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
            store.writeRandomly();
            relayStep();
            listenerStep();
            if (inTransit.empty() || *rc::gen::inRange(0, 4) == 0)
                continue;
            const auto index = *rc::gen::inRange<std::size_t>(0, inTransit.size());
            listener.apply(listener.follower.onUpdate(inTransit[index], now));
            if (*rc::gen::inRange(0, 3) > 0)
                inTransit.erase(inTransit.begin() + static_cast<std::ptrdiff_t>(index));
        }
        if (listenerResponse)
            listener.apply(listener.follower.onResponse(*listenerResponse, now));
        for (int i = 0; i < 8; ++i) {
            now += 3s;
            if (const auto call = listener.follower.nextCall(now))
                listener.apply(listener.follower.onResponse(store.answer(*call), now));
        }
        RC_ASSERT(listener.keys == store.values());
    });
}

TEST_CASE_METHOD(FollowerFixture, "prefixFollower_positionOfALaterChange_showsThatItWasMissed")
{
    CHECK_FALSE(follower.onPosition(3, now));
    CHECK(follower.onPosition(0, now));
    answer(page({{"a", "1", 3, false}}, 5));
    CHECK(follower.onPosition(5, now));
    CHECK(follower.lastConfirmedAt() == now);
    CHECK_FALSE(follower.onPosition(6, now + 1s));
    CHECK(follower.lastConfirmedAt() == now);
}

TEST_CASE_METHOD(FollowerFixture, "prefixFollower_fullRangeReceivedDuringAListing_dropsThePage")
{
    REQUIRE(follower.nextCall(now));
    CHECK(follower.onUpdate({"", 0, 7, {{"a", "1", 3, false}}}, now).size() == 1);
    CHECK(follower.onResponse(page({{"b", "2", 8, false}}, 9), now).empty());
    CHECK(follower.nextCall(now + 3s) == FollowCall(WatchCall{7, 4s}));
}

// Guards against missing or stale keys at an instance that only receives updates of its peers.
TEST_CASE("prefixFollower_rejectedByTheStore_getsTheStoresKeysFromPeers")
{
    rc::prop("the keys of both are the store's", [] {
        StoreModel store;
        PrefixFollower::Limits limits;
        limits.maxRemovals = 2;
        std::array<Followed, 2> both{Followed{PrefixFollower(limits), {}},
                                     Followed{PrefixFollower(limits), {}}};
        std::vector<RangeUpdate> inTransit;
        TimePoint now{1s};
        const auto callStore = [&](Followed &followed, bool storeWorks) {
            const auto call = followed.follower.nextCall(now);
            if (!call)
                return;
            const StorePage page = store.answer(*call);
            followed.apply(
                followed.follower.onResponse(storeWorks ? page : withRandomFailure(page), now));
        };
        const auto requestUpdate = [&](Followed &followed, const Followed &other) {
            const std::uint64_t known
                = followed.follower.isWatching() ? followed.follower.asOf() : 0;
            return other.follower.updateSince("", known);
        };
        const int rounds = *rc::gen::inRange(5, 60);
        for (int i = 0; i < rounds; ++i) {
            now += 2s;
            store.writeRandomly();
            const auto index = *rc::gen::inRange<std::size_t>(0, 2);
            if (*rc::gen::inRange(0, 3) > 0)
                callStore(both[index], false);
            if (auto update = requestUpdate(both[1 - index], both[index]))
                inTransit.push_back(*std::move(update));
            if (inTransit.empty() || *rc::gen::inRange(0, 2) == 0)
                continue;
            // The update may be late or a duplicate, and go to either follower.
            const auto which = *rc::gen::inRange<std::size_t>(0, inTransit.size());
            both[index].apply(both[index].follower.onUpdate(inTransit[which], now));
        }
        for (int i = 0; i < 8; ++i) {
            now += 2s;
            callStore(both[0], true);
        }
        RC_ASSERT(both[0].keys == store.values());
        const auto update = requestUpdate(both[1], both[0]);
        RC_ASSERT(update.has_value());
        both[1].apply(both[1].follower.onUpdate(*update, now));
        RC_ASSERT(both[1].keys == store.values());
        RC_ASSERT(both[1].follower.onPosition(both[0].follower.lastChange(), now));
    });
}
