// Ranges of a store that comes back from a copy and gives its revisions out again.
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "ibisnotch/prefix-follower.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

using Keys = std::map<std::string, std::string>;

// A store that can go back to an earlier state.
struct CopiedStore
{
    struct Content
    {
        std::map<std::string, StoreItem> items;
        std::vector<StoreItem> log;
        std::uint64_t number = 1;
    };

    Content content;
    Content copy;
    std::uint64_t era = 1;

    void put(const std::string &key, const std::string &value)
    {
        const StoreItem item{key, value, makeRevision(era, ++content.number)};
        content.items[key] = item;
        content.log.push_back(item);
    }
    void remove(const std::string &key)
    {
        if (content.items.erase(key) > 0)
            content.log.push_back({key, "", makeRevision(era, ++content.number), true});
    }
    void restore()
    {
        content = copy;
        ++era;
    }

    // Returns the item as an answer of this era shows it.
    StoreItem shown(StoreItem item) const
    {
        item.revision = makeRevision(era, numberOf(item.revision));
        return item;
    }

    StorePage answer(const FollowCall &call) const
    {
        StorePage page{StoreStatus::ok, {}, false, makeRevision(era, content.number)};
        if (const auto *watch = std::get_if<WatchCall>(&call)) {
            const std::uint64_t after = numberOf(watch->afterRevision);
            if (after > content.number)
                return {StoreStatus::historyLost, {}, false, 0};
            for (const StoreItem &item : content.log) {
                if (numberOf(item.revision) > after)
                    page.items.push_back(shown(item));
            }
            return page;
        }
        const auto &after = std::get<ListCall>(call).after;
        for (const auto &[key, item] : content.items) {
            if (!after.empty() && key <= after)
                continue;
            page.hasMore = page.items.size() == 2;
            if (page.hasMore)
                break;
            page.items.push_back(shown(item));
        }
        return page;
    }

    Keys keys() const
    {
        Keys result;
        for (const auto &[key, item] : content.items)
            result[key] = item.value;
        return result;
    }
};

// One instance's follower, and the keys that its reported changes lead to.
struct Instance
{
    PrefixFollower follower{};
    Keys keys;
    std::uint64_t era = 0;

    void hearEra(std::uint64_t heard, TimePoint now, bool &isDropped)
    {
        if (heard <= era)
            return;
        era = heard;
        isDropped = follower.startEra(heard, now, Duration(0));
    }
    void apply(const std::vector<StoreItem> &changes)
    {
        for (const StoreItem &item : changes) {
            if (item.deleted)
                keys.erase(item.key);
            else
                keys[item.key] = item.value;
        }
    }
    // Passes on an answer that was given in the era.
    void onAnswer(const StorePage &page, std::uint64_t answerEra, TimePoint now)
    {
        bool isDropped = false;
        hearEra(answerEra, now, isDropped);
        if (!isDropped)
            apply(follower.onResponse(page, now));
    }
    void onUpdate(const RangeUpdate &update, TimePoint now)
    {
        bool isDropped = false;
        hearEra(eraOf(update.asOf), now, isDropped);
        apply(follower.onUpdate(update, now));
    }
    // Makes calls until the store's state is known.
    void catchUp(const CopiedStore &store, TimePoint &now)
    {
        for (int i = 0; i < 20; ++i) {
            now += 10s;
            if (const auto call = follower.nextCall(now))
                onAnswer(store.answer(*call), store.era, now);
        }
    }
};

struct EraFixture
{
    TimePoint now{10s};
    CopiedStore store;
    Instance one;

    EraFixture() { store.put("a", "1"); }
    void catchUp() { one.catchUp(store, now); }
};

} // namespace

// Guards against a change that is dropped as known because its revision was given out before.
TEST_CASE_METHOD(EraFixture, "prefixFollower_revisionGivenOutAgain_reportsTheChange")
{
    store.copy = store.content;
    store.put("a", "2");
    store.put("b", "2");
    catchUp();
    store.restore();
    store.put("a", "3");
    catchUp();
    CHECK(one.keys == Keys{{"a", "3"}});
}

// Guards against changes that no answer contains, as the watch goes on from a revision that the
// store has passed again.
TEST_CASE_METHOD(EraFixture, "prefixFollower_revisionsHavePassedThoseKnown_reportsAllChanges")
{
    store.copy = store.content;
    store.put("b", "2");
    catchUp();
    store.restore();
    store.put("a", "3");
    for (int i = 0; i < 5; ++i)
        store.put("c", std::to_string(i));
    catchUp();
    CHECK(one.keys == Keys{{"a", "3"}, {"c", "4"}});
}

// Guards against a key that was removed, and is taken for written because the copy has it.
TEST_CASE_METHOD(EraFixture, "prefixFollower_copyHasARemovedKey_staysRemovedUntilItIsWritten")
{
    store.copy = store.content;
    catchUp();
    store.remove("a");
    catchUp();
    store.restore();
    store.put("b", "1");
    catchUp();
    CHECK(one.keys == Keys{{"b", "1"}});
    // Once more, to a copy from before the first return.
    store.restore();
    catchUp();
    CHECK(one.keys.empty());
    store.put("a", "2");
    catchUp();
    CHECK(one.keys == Keys{{"a", "2"}});
}

// Guards against a key that counts as removed by its writer although the store lost it.
TEST_CASE_METHOD(EraFixture, "prefixFollower_copyLacksAKey_reportsItAsLost")
{
    catchUp();
    store.copy = store.content;
    store.put("b", "1");
    catchUp();
    store.restore();
    std::vector<StoreItem> changes;
    for (int i = 0; i < 10; ++i) {
        now += 10s;
        const auto call = one.follower.nextCall(now);
        bool isDropped = false;
        one.hearEra(store.era, now, isDropped);
        if (!call || isDropped)
            continue;
        for (const StoreItem &item : one.follower.onResponse(store.answer(*call), now))
            changes.push_back(item);
    }
    REQUIRE(changes.size() == 2);
    CHECK(changes.back().key == "b");
    CHECK(changes.back().lost);
}

// Guards against an instance that was cut off and brings the earlier era back: its updates, its
// position, and answers of the store that come late.
TEST_CASE_METHOD(EraFixture, "prefixFollower_newsOfTheEarlierEra_areDropped")
{
    Instance cutOff;
    store.copy = store.content;
    for (int i = 0; i < 9; ++i)
        store.put("old", std::to_string(i));
    catchUp();
    cutOff.catchUp(store, now);
    const auto lateAnswer = store.answer(WatchCall{makeRevision(1, 2), 1s});
    store.restore();
    store.put("a", "2");
    catchUp();
    const Keys expected{{"a", "2"}};
    REQUIRE(one.keys == expected);
    one.onUpdate(*cutOff.follower.updateSince("r", 0), now);
    one.onUpdate(*cutOff.follower.updateSince("r", makeRevision(1, 3)), now);
    CHECK(one.keys == expected);
    const TimePoint confirmed = one.follower.lastConfirmedAt();
    CHECK(one.follower.onPosition(cutOff.follower.lastChange(), now + 1s));
    CHECK(one.follower.lastConfirmedAt() == confirmed);
    REQUIRE(one.follower.nextCall(now + 10s));
    one.onAnswer(lateAnswer, 1, now + 10s);
    CHECK(one.keys == expected);
    // The other direction: the cut-off instance learns the new era from this one.
    cutOff.onUpdate(*one.follower.updateSince("r", cutOff.follower.asOf()), now);
    CHECK(cutOff.keys == expected);
}

// Guards against a listing whose pages are of two eras.
TEST_CASE_METHOD(EraFixture, "prefixFollower_storeGoesBackBetweenPages_listsAnew")
{
    for (const char *key : {"b", "c", "d", "e"})
        store.put(key, "old");
    store.copy = store.content;
    const auto first = one.follower.nextCall(now);
    REQUIRE(first);
    one.onAnswer(store.answer(*first), store.era, now);
    store.restore();
    store.put("a", "new");
    catchUp();
    CHECK(one.keys == store.keys());
}

// Guards against orders of writes, drills, late answers and messages between instances after which
// one of them doesn't have the store's keys.
TEST_CASE("prefixFollower_drillsInRandomOrders_endsWithTheStoresKeys")
{
    rc::prop("all instances have the store's keys", [] {
        TimePoint now{10s};
        CopiedStore store;
        std::array<Instance, 3> instances;
        std::vector<std::pair<std::size_t, RangeUpdate>> late; // messages, and their receivers
        const int steps = *rc::gen::inRange(5, 60);
        for (int step = 0; step < steps; ++step) {
            now += 2s;
            const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 5)));
            Instance &instance = instances[*rc::gen::inRange<std::size_t>(0, 3)];
            const std::size_t to = *rc::gen::inRange<std::size_t>(0, 3);
            switch (*rc::gen::inRange(0, 9)) {
            case 0:
            case 1:
                store.put(key, std::to_string(step));
                break;
            case 2:
                store.remove(key);
                break;
            case 3:
                store.copy = store.content;
                break;
            case 4:
                store.restore();
                break;
            case 5:
            case 6:
                if (const auto call = instance.follower.nextCall(now))
                    instance.onAnswer(store.answer(*call), store.era, now);
                break;
            case 7:
                if (const auto update = instance.follower.updateSince(
                        "r", *rc::gen::arbitrary<bool>() ? 0 : instances[to].follower.asOf()))
                    late.emplace_back(to, *update);
                break;
            default:
                if (!late.empty()) {
                    const std::size_t index = *rc::gen::inRange<std::size_t>(0, late.size());
                    instances[late[index].first].onUpdate(late[index].second, now);
                }
                break;
            }
        }
        // The writers write again what they have; no number is one that was given out before.
        store.content.number += 1000;
        for (const auto &[key, value] : store.keys())
            store.put(key, value);
        for (Instance &instance : instances)
            instance.catchUp(store, now);
        for (const auto &[to, update] : late)
            instances[to].onUpdate(update, now);
        for (Instance &instance : instances) {
            instance.catchUp(store, now);
            RC_ASSERT(instance.keys == store.keys());
        }
    });
}
