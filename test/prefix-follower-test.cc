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
        return {StoreEnd::ok, std::move(items), more, asOf};
    }

    static StorePage failed(StoreEnd end) { return {end, {}, false, 0}; }
};

// A store with random writes and removals, read in pages of two keys.
struct StoreModel
{
    std::map<std::string, StoreItem> items;
    std::vector<StoreItem> log;
    std::uint64_t revision = 1;

    void writeSome()
    {
        for (int writes = *rc::gen::inRange(0, 3); writes > 0; --writes)
            write();
    }

    void write()
    {
        const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 6)));
        const bool remove = *rc::gen::inRange(0, 3) == 0;
        if (remove && items.erase(key) == 0)
            return;
        const StoreItem item{key, remove ? "" : std::to_string(revision), ++revision, remove};
        if (!remove)
            items[key] = item;
        log.push_back(item);
    }

    StorePage answer(const FollowCall &call) const
    {
        StorePage page{StoreEnd::ok, {}, false, revision};
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
            page.more = page.items.size() == 2;
            if (page.more)
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

// A follower and what it has reported.
struct Followed
{
    PrefixFollower follower{};
    std::map<std::string, std::string> seen;

    void note(const std::vector<StoreItem> &changes)
    {
        for (const StoreItem &item : changes) {
            if (item.deleted)
                seen.erase(item.key);
            else
                seen[item.key] = item.value;
        }
    }
};

StorePage withFate(StorePage page)
{
    const int fate = *rc::gen::inRange(0, 10);
    if (fate == 0)
        return {StoreEnd::unknown, {}, false, 0};
    if (fate == 1)
        return {StoreEnd::historyLost, {}, false, 0};
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
    // What it has just read holds as long as news does.
    CHECK_FALSE(follower.nextCall(now + 1900ms));
    const auto call = follower.nextCall(now + 2s);
    REQUIRE(call);
    CHECK(std::get<WatchCall>(*call).afterRevision == 7);
}

// What callers see: work sent to a server that has left. In what order: the store forgets its
// history, the server's entry goes meanwhile, the range is read again. Why: only the comparison of
// the new pages with what was known shows the removal.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_historyLost_findsWhatWasRemovedMeanwhile")
{
    answer(page({{"a", "1", 3, false}, {"b", "1", 4, false}}, 5));
    CHECK(answer(failed(StoreEnd::historyLost)).empty());
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

TEST_CASE_METHOD(FollowerFixture, "prefixFollower_storeAway_asksAgainAfterAPauseThatGrows")
{
    REQUIRE(follower.nextCall(now));
    follower.onResponse(failed(StoreEnd::unknown), now);
    CHECK_FALSE(follower.isStoreReachable());
    CHECK_FALSE(follower.nextCall(now + 200ms));
    REQUIRE(follower.nextCall(now + 260ms));
    follower.onResponse(failed(StoreEnd::notApplied), now + 260ms);
    CHECK_FALSE(follower.nextCall(now + 600ms));
    REQUIRE(follower.nextCall(now + 800ms));
    follower.onResponse(page({}, 1), now + 800ms);
    CHECK(follower.isStoreReachable());
}

// Guards against servers that turn cold unnoticed in a region cut off again soon after the store
// was away: a watch of four seconds hangs for so long before anybody asks the servers.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_callFailed_watchesOftenAndBelievesLessLong")
{
    follower.setRole(FollowRole::alone);
    answer(page({}, 7));
    CHECK(follower.validity(now) == 5s);
    answer(failed(StoreEnd::unknown));
    CHECK(follower.validity(now) == 2s);
    const auto call = follower.nextCall(now);
    REQUIRE(call);
    CHECK(std::get<WatchCall>(*call).maxWait == 1s);
    CHECK(follower.validity(now + 20s) == 5s);
}

// What callers see: nothing; the store gets a call less. In what order: the range is read once,
// then an instance that watches tells of changes, then falls silent. Why: what it tells is complete
// from one revision to the next, and silence sends the follower to the store.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_hearsOfChanges_callsOnlyOnceItHearsNothing")
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

// What callers see: work sent to a server that has left. In what order: a datagram with the removal
// is lost, the next one comes. Why: it begins at a later revision than is known, so the follower
// asks the store at once.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_newsWithAGap_asksTheStoreAtOnce")
{
    answer(page({{"a", "1", 3, false}}, 5));
    follower.onUpdate({"", 5, 6, {}}, now);
    CHECK_FALSE(follower.nextCall(now));
    CHECK(follower.onUpdate({"", 7, 9, {{"c", "2", 9, false}}}, now).empty());
    const auto call = follower.nextCall(now);
    REQUIRE(call);
    CHECK(std::get<WatchCall>(*call).afterRevision == 6);
}

// What callers see: work sent to a server that has left. In what order: an own watch is under way
// while news tells that a key was written and removed; the watch then answers with the write alone.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_lateAnswerAfterNews_bringsNoKeyBack")
{
    answer(page({{"a", "1", 3, false}}, 5));
    REQUIRE(follower.nextCall(now));
    CHECK(follower.onUpdate({"", 5, 9, {{"b", "", 9, true}, {"a", "", 8, true}}}, now).size() == 1);
    CHECK(follower.onResponse(page({{"b", "2", 7, false}}, 7), now).empty());
    CHECK(follower.asOf() == 9);
}

// Guards against a fleet that asks the store all at once when its history is lost, and against a
// server that registered and left meanwhile, of whose removal the relay cannot know.
TEST_CASE_METHOD(FollowerFixture, "newsOf_rangeReadAgain_bringsOthersUpToDateWithoutTheStore")
{
    const StorePage first = page({{"a", "1", 3, false}, {"b", "2", 4, false}}, 5);
    PrefixFollower told = follower;
    told.nextCall(now);
    told.onResponse(first, now);
    told.onUpdate({"", 5, 8, {{"left", "3", 7, false}}}, now);
    answer(first);
    answer(failed(StoreEnd::historyLost));
    const std::uint64_t base = follower.updateBase();
    const StorePage again = page({{"a", "4", 10, false}}, 12);
    answer(again);
    const auto news = updatesFromResponse("", base, false, follower, again);
    REQUIRE(news.size() == 1);
    CHECK(told.onUpdate(news[0], now).size() == 3);
    CHECK(told.asOf() == 12);
    CHECK_FALSE(told.nextCall(now));
    const auto known = told.updateSince("", 0);
    REQUIRE(known);
    CHECK(known->items == std::vector<StoreItem>{{"a", "4", 10, false}});
    CHECK(updatesFromResponse("", base, true, follower, failed(StoreEnd::unknown)).empty());
    CHECK(updatesFromResponse("", 0, false, follower, again).empty());
}

// Guards against servers that vanish: a page, sent on as if it were all changes, had others drop
// what it does not name in their order.
TEST_CASE_METHOD(FollowerFixture, "newsOf_pageAnsweredAfterAPeerToldTheRange_takesNothingAway")
{
    std::vector<StoreItem> items;
    for (std::uint64_t i = 0; i < 50; ++i)
        items.push_back({std::to_string(100 + i), std::string(250, 'x'), 11 + i * 7 % 50, false});
    PrefixFollower told = follower;
    told.onUpdate({"", 0, 60, items}, now);
    REQUIRE(follower.nextCall(now));
    follower.onUpdate({"", 0, 60, items}, now);
    const std::uint64_t base = follower.updateBase();
    const bool watched = follower.isWatchPending();
    const StorePage late = page(items, 62);
    follower.onResponse(late, now);
    for (const RangeUpdate &news : updatesFromResponse("", base, watched, follower, late))
        CHECK(told.onUpdate(news, now).empty());
    const auto known = told.updateSince("", 0);
    REQUIRE(known);
    CHECK(known->items.size() == items.size());
}

// Guards against every instance asking the store after a burst of changes, as when a data centre's
// servers come back.
TEST_CASE_METHOD(FollowerFixture, "newsOfWatch_moreChangesThanADatagramTakes_arriveInPieces")
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

// Guards against instances that ask the store though their neighbours know that nothing changed.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_hearsMarksOnly_callsOnceTheirAgeIsOver")
{
    answer(page({{"a", "1", 3, false}}, 5));
    CHECK(follower.onPosition(5, now + 1s));
    CHECK_FALSE(follower.nextCall(now + 2900ms));
    CHECK(follower.nextCall(now + 3s));
}

// Guards against taking an instance that has just read the range for one that knows of no change:
// what was removed before is not in it.
TEST_CASE_METHOD(FollowerFixture, "prefixFollower_rangeJustRead_tellsNoEarlierLastChange")
{
    answer(page({{"a", "1", 3, false}}, 5));
    CHECK(follower.lastChange() == 5);
    CHECK(follower.updateBase() == 5);
}

TEST_CASE_METHOD(FollowerFixture, "makeNews_changeTooLargeForADatagram_sendsOthersToTheStore")
{
    answer(page({{"a", "1", 3, false}}, 5));
    follower.onUpdate({"", 5, 6, {}}, now);
    CHECK(
        follower.onUpdate(makeRangeUpdate("", 6, 7, {{"a", std::string(9000, 'x'), 7, false}}), now)
            .empty());
    CHECK(follower.nextCall(now));
}

// Random writes, removals, lost answers and forgotten history.
TEST_CASE("prefixFollower_anyHistory_endsWithTheStoresKeys")
{
    rc::prop("the followed keys are the store's", [] {
        StoreModel store;
        Followed one;
        TimePoint now{1s};
        const auto step = [&](bool calm) {
            now += 2s;
            const auto call = one.follower.nextCall(now);
            RC_ASSERT(call.has_value());
            const StorePage page = store.answer(*call);
            one.note(one.follower.onResponse(calm ? page : withFate(page), now));
        };
        const int rounds = *rc::gen::inRange(5, 40);
        for (int i = 0; i < rounds; ++i) {
            store.writeSome();
            step(false);
        }
        for (int i = 0; i < 8; ++i)
            step(true);
        RC_ASSERT(one.seen == store.values());
    });
}

// What callers see: nothing. In what order: an instance watches the store and tells another one;
// its datagrams are lost, doubled or overtake each other, and the other's own calls answer late.
// Why: news counts only from a revision that is known, and what is older than that changes nothing.
TEST_CASE("prefixFollower_newsLostDoubledAndLate_endsWithTheStoresKeys")
{
    rc::prop("the keys of the one that is told are the store's", [] {
        StoreModel store;
        Followed relay;
        Followed told;
        relay.follower.setRole(FollowRole::relay);
        std::vector<RangeUpdate> onTheWay;
        std::optional<StorePage> late; // the answer to a call of the one that is told
        TimePoint now{1s};
        const auto relayStep = [&] {
            const auto call = relay.follower.nextCall(now);
            if (!call)
                return;
            const std::uint64_t base = relay.follower.updateBase();
            const bool watched = relay.follower.isWatchPending();
            const StorePage page = withFate(store.answer(*call));
            relay.note(relay.follower.onResponse(page, now));
            for (RangeUpdate &news : updatesFromResponse("", base, watched, relay.follower, page))
                onTheWay.push_back(std::move(news));
        };
        const auto toldStep = [&] {
            if (!late) {
                if (const auto call = told.follower.nextCall(now))
                    late = withFate(store.answer(*call));
            } else if (*rc::gen::inRange(0, 2) == 0) {
                told.note(told.follower.onResponse(*late, now));
                late.reset();
            }
        };
        const int rounds = *rc::gen::inRange(5, 60);
        for (int i = 0; i < rounds; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
            store.writeSome();
            relayStep();
            toldStep();
            if (onTheWay.empty() || *rc::gen::inRange(0, 4) == 0)
                continue;
            const auto index = *rc::gen::inRange<std::size_t>(0, onTheWay.size());
            told.note(told.follower.onUpdate(onTheWay[index], now));
            if (*rc::gen::inRange(0, 3) > 0)
                onTheWay.erase(onTheWay.begin() + static_cast<std::ptrdiff_t>(index));
        }
        if (late)
            told.note(told.follower.onResponse(*late, now));
        for (int i = 0; i < 8; ++i) {
            now += 3s;
            if (const auto call = told.follower.nextCall(now))
                told.note(told.follower.onResponse(store.answer(*call), now));
        }
        RC_ASSERT(told.seen == store.values());
    });
}

TEST_CASE_METHOD(FollowerFixture, "prefixFollower_markOfALaterChange_showsThatItWasMissed")
{
    CHECK_FALSE(follower.onPosition(3, now));
    CHECK(follower.onPosition(0, now));
    answer(page({{"a", "1", 3, false}}, 5));
    CHECK(follower.onPosition(5, now));
    CHECK(follower.lastConfirmedAt() == now);
    CHECK_FALSE(follower.onPosition(6, now + 1s));
    CHECK(follower.lastConfirmedAt() == now);
}

TEST_CASE_METHOD(FollowerFixture, "prefixFollower_wholeRangeToldWhileAPageIsUnderWay_dropsThePage")
{
    REQUIRE(follower.nextCall(now));
    CHECK(follower.onUpdate({"", 0, 7, {{"a", "1", 3, false}}}, now).size() == 1);
    CHECK(follower.onResponse(page({{"b", "2", 8, false}}, 9), now).empty());
    CHECK(follower.nextCall(now + 3s) == FollowCall(WatchCall{7, 4s}));
}

// Guards against keys that an instance misses, or keeps, once it lives on what its peers know.
TEST_CASE("prefixFollower_storeTurnsItAway_peersGiveItTheStoresKeys")
{
    rc::prop("the keys of both are the store's", [] {
        StoreModel store;
        PrefixFollower::Limits limits;
        limits.maxRemovals = 2;
        std::array<Followed, 2> both{Followed{PrefixFollower(limits), {}},
                                     Followed{PrefixFollower(limits), {}}};
        std::vector<RangeUpdate> onTheWay;
        TimePoint now{1s};
        const auto callStore = [&](Followed &one, bool calm) {
            const auto call = one.follower.nextCall(now);
            if (!call)
                return;
            const StorePage page = store.answer(*call);
            one.note(one.follower.onResponse(calm ? page : withFate(page), now));
        };
        const auto ask = [&](Followed &one, const Followed &other) {
            const std::uint64_t known = one.follower.isWatching() ? one.follower.asOf() : 0;
            return other.follower.updateSince("", known);
        };
        const int rounds = *rc::gen::inRange(5, 60);
        for (int i = 0; i < rounds; ++i) {
            now += 2s;
            store.writeSome();
            const auto index = *rc::gen::inRange<std::size_t>(0, 2);
            if (*rc::gen::inRange(0, 3) > 0)
                callStore(both[index], false);
            if (auto news = ask(both[1 - index], both[index]))
                onTheWay.push_back(*std::move(news));
            if (onTheWay.empty() || *rc::gen::inRange(0, 2) == 0)
                continue;
            // Late, doubled, and to whichever of the two.
            const auto which = *rc::gen::inRange<std::size_t>(0, onTheWay.size());
            both[index].note(both[index].follower.onUpdate(onTheWay[which], now));
        }
        for (int i = 0; i < 8; ++i) {
            now += 2s;
            callStore(both[0], true);
        }
        RC_ASSERT(both[0].seen == store.values());
        const auto news = ask(both[1], both[0]);
        RC_ASSERT(news.has_value());
        both[1].note(both[1].follower.onUpdate(*news, now));
        RC_ASSERT(both[1].seen == store.values());
        RC_ASSERT(both[1].follower.onPosition(both[0].follower.lastChange(), now));
    });
}
