#include "ibisnotch/warmup.h"

#include <deque>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "ibisnotch/silence.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> names(int count)
{
    std::vector<std::string> result;
    for (int i = 0; i < count; ++i)
        result.push_back("entry-" + std::to_string(i));
    return result;
}

// Returns the views that so many instances have of one server, which they know to be cold.
std::vector<ServerView> makeViews(std::size_t count, TimePoint coldSince = {})
{
    std::vector<ServerView> views(count);
    for (ServerView &view : views) {
        view.counters = std::make_shared<ServerCounters>();
        view.coldSince = coldSince;
    }
    return views;
}

// Returns the entry of the list of servers as it is when the server has been cold for a moment, or
// is warm.
ListedServer listedServer(std::uint64_t revision, Duration warmup)
{
    ListedServer listed;
    listed.server.name = "server";
    listed.server.pool = "pool";
    listed.revision = revision;
    listed.warmup = warmup;
    return listed;
}

} // namespace

// Guards against a restarted server that crashes again because every instance considers it the
// least loaded: the rate of a cold server is a limit for all instances together.
TEST_CASE("warmupInterval_sendersThatAlwaysSend_stayWithinTheBoundTogether")
{
    rc::prop("rate in any second", [] {
        const int count = *rc::gen::inRange(1, 40);
        const double rate = *rc::gen::inRange(1, 80) / 10.0;
        const WarmupBound bound{1.5, static_cast<double>(*rc::gen::inRange(0, 5))};
        const auto senders = names(count);
        std::deque<TimePoint> sent;
        const std::vector<ServerView> views = makeViews(senders.size());
        for (TimePoint now{1s}; now < TimePoint{6s}; now += 10ms) {
            while (!sent.empty() && now - sent.front() > 1s)
                sent.pop_front();
            for (std::size_t i = 0; i < senders.size(); ++i) {
                const auto interval = warmupInterval(rate, bound, senders, senders[i], "server");
                if (interval && tryAcquireRateLimited(views[i], *interval, now))
                    sent.push_back(now);
            }
            RC_ASSERT(static_cast<double>(sent.size()) <= rate * bound.factor + bound.slack);
        }
        if (rate * bound.factor + bound.slack >= 1)
            RC_ASSERT(!sent.empty());
    });
}

TEST_CASE("warmupInterval_rateBelowOneRequest_isNotAssigned")
{
    CHECK_FALSE(warmupInterval(0.2, {1, 0}, {"a"}, "a", "server"));
    CHECK(warmupInterval(2, {1, 0}, {"a"}, "a", "server") == 530ms);
}

// Guards against a cold server that gets its full rate in addition to what was sent before
// instances learned that it is cold.
TEST_CASE("tryAcquireRateLimited_lateColdUpdate_countsRequestsSentBefore")
{
    rc::prop("rate in any second since it became cold", [] {
        const WarmupBound bound{1.5, 3};
        const double rate = 2.4;
        const auto senders = names(3);
        const TimePoint coldAt{2s};
        const TimePoint knownAt = coldAt + std::chrono::milliseconds(*rc::gen::inRange(0, 200));
        const std::vector<ServerView> views = makeViews(senders.size(), knownAt);
        std::deque<TimePoint> sent;
        // Each sender sends up to two requests before it learns that the server is cold.
        std::vector<int> sentBeforeKnown(senders.size(), 0);
        for (TimePoint now{1s}; now < TimePoint{6s}; now += 10ms) {
            while (!sent.empty() && now - sent.front() > 1s)
                sent.pop_front();
            for (std::size_t i = 0; i < senders.size(); ++i) {
                const auto interval = warmupInterval(rate, bound, senders, senders[i], "server");
                const bool sends = now < knownAt
                    ? now >= coldAt && sentBeforeKnown[i] < 2 && *rc::gen::inRange(0, 4) == 0
                    : interval && tryAcquireRateLimited(views[i], *interval, now);
                if (!sends)
                    continue;
                sentBeforeKnown[i] += now < knownAt ? 1 : 0;
                recordSent(*views[i].counters, now);
                sent.push_back(now);
            }
            RC_ASSERT(static_cast<double>(sent.size()) <= rate * bound.factor + bound.slack);
        }
    });
}

// Guards against a cold server that is flooded in the second after the news: instances without a
// share of its rate sent to it before they learned of it, and those with one send at once.
TEST_CASE("tryAcquireRateLimited_lateColdUpdateInALargeRegion_countsRequestsOfOthers")
{
    rc::prop("rate in any second since it became cold", [] {
        const WarmupBound bound{1.5, 3};
        const double rate = *rc::gen::inRange(20, 42) / 10.0;
        const auto senders = names(*rc::gen::inRange(1, 30));
        const std::size_t allowed = static_cast<std::size_t>(rate * bound.factor + bound.slack);
        const TimePoint coldAt{2s};
        const TimePoint firstKnownAt
            = coldAt + std::chrono::milliseconds(*rc::gen::inRange(0, 300));
        std::vector<TimePoint> knownAt;
        std::vector<std::unique_ptr<ServerTable>> tables;
        std::vector<ServerView> views;
        for (std::size_t i = 0; i < senders.size(); ++i) {
            knownAt.push_back(firstKnownAt + std::chrono::milliseconds(*rc::gen::inRange(0, 50)));
            tables.push_back(std::make_unique<ServerTable>(ServerTable::Limits{}));
            tables[i]->setListed({{"server", listedServer(1, 0s)}}, TimePoint{1s});
            views.push_back(tables[i]->routingTable(TimePoint{1s}).servers.front());
        }
        std::deque<TimePoint> sent;
        std::size_t sentBeforeKnown = 0;
        for (TimePoint now = coldAt; now < TimePoint{6s}; now += 10ms) {
            while (!sent.empty() && now - sent.front() > 1s)
                sent.pop_front();
            for (std::size_t i = 0; i < senders.size(); ++i) {
                const auto interval = warmupInterval(rate, bound, senders, senders[i], "server");
                if (now < knownAt[i]) {
                    // As many as the server can handle, so that none may follow within a second.
                    if (sentBeforeKnown == allowed || *rc::gen::inRange(0, 20) > 0)
                        continue;
                    ++sentBeforeKnown;
                    recordSent(*views[i].counters, now);
                    sent.push_back(now);
                    continue;
                }
                if (views[i].coldUntil == TimePoint{}) {
                    tables[i]->setListed({{"server", listedServer(2, 4s)}}, now);
                    views[i] = tables[i]->routingTable(now).servers.front();
                }
                if (interval && tryAcquireRateLimited(views[i], *interval, now))
                    sent.push_back(now);
            }
            RC_ASSERT(sent.size() <= allowed);
        }
    });
}

namespace {

struct PossiblyColdFixture
{
    RoutingTable table;
    WarmupBound bound{1.5, 3};
    BackendServer server;

    explicit PossiblyColdFixture(int senders)
    {
        FleetConfig config;
        config.pools["pool"].warmupRate = 2.4;
        table.config = std::make_shared<const FleetConfig>(std::move(config));
        table.senders = names(senders);
        table.list.confirmedAt = TimePoint{1h};
        server.name = "server";
        server.pool = "pool";
    }
};

} // namespace

// Guards against a burst from a large region to a server that has become cold since its last status
// check, however late the next check is answered.
TEST_CASE("possiblyColdShare_burstOfAllSenders_staysWithinTheBoundUntilEachHasChecked")
{
    rc::prop("however long the checks take", [] {
        // A few senders get more than one request each, of which one may be sent during a check.
        const int maxSenders = *rc::gen::element(3, 100);
        const PossiblyColdFixture fixture(*rc::gen::inRange(1, maxSenders + 1));
        const TimePoint since = fixture.table.list.confirmedAt + fixture.table.list.maxAge;
        const TimePoint coldAt = since + 2s;
        int sentWhileCold = 0;
        for (const std::string &sender : fixture.table.senders) {
            const auto share
                = possiblyColdShare(fixture.table, fixture.bound, sender, fixture.server);
            RC_ASSERT(share.has_value());
            ServerCounters counters;
            // Time of the health check and number of requests sent before it.
            std::optional<std::pair<TimePoint, std::uint32_t>> check;
            Duration roundTrip{};
            for (TimePoint now = since; now < coldAt + 1s; now += 20ms) {
                if (check && now >= check->first + roundTrip) {
                    // The server answers after half of the round trip.
                    if (check->first + roundTrip / 2 >= coldAt)
                        break;
                    recordWarm(counters, check->second, now);
                    check.reset();
                }
                if (!check && needsHealthCheck(counters, since)) {
                    check.emplace(now, counters.possiblyColdSent.load());
                    roundTrip = std::chrono::milliseconds(*rc::gen::inRange(1, 400));
                }
                if (*rc::gen::inRange(0, 3) > 0 && tryAcquirePossiblyCold(counters, *share, since))
                    sentWhileCold += now >= coldAt ? 1 : 0;
            }
        }
        RC_ASSERT(sentWhileCold <= 6);
    });
}

TEST_CASE("possiblyColdShare_poolWithoutWarmup_isUnlimited")
{
    PossiblyColdFixture fixture(3);
    CHECK(possiblyColdShare(fixture.table, fixture.bound, "entry-0", fixture.server) == 2);
    fixture.server.pool = "other";
    CHECK_FALSE(possiblyColdShare(fixture.table, fixture.bound, "entry-0", fixture.server));
}

// Guards against considering a server warm by a health check from before the list became outdated.
TEST_CASE("canSendPossiblyCold_checkBeforeTheListGotOld_doesNotCount")
{
    ServerCounters counters;
    CHECK_FALSE(canSendPossiblyCold(counters, 1, TimePoint{1h}));
    recordWarm(counters, 0, TimePoint{1h} - 1s);
    CHECK_FALSE(canSendPossiblyCold(counters, 1, TimePoint{1h}));
    CHECK(needsHealthCheck(counters, TimePoint{1h}));
    recordWarm(counters, 0, TimePoint{1h} + 1s);
    CHECK_FALSE(needsHealthCheck(counters, TimePoint{1h}));
    CHECK(tryAcquirePossiblyCold(counters, 1, TimePoint{1h}));
    CHECK_FALSE(tryAcquirePossiblyCold(counters, 1, TimePoint{1h}));
    CHECK(needsHealthCheck(counters, TimePoint{1h}));
}

// Guards against rejecting a request while a health check is in progress, or because this instance
// has a share of no server.
TEST_CASE("choosePossiblyCold_noServerReady_waitsOrChoosesTheLongestIdle")
{
    const TimePoint now{1h};
    CHECK(choosePossiblyCold({}) == PossiblyColdChoice{});
    const std::vector<PossiblyColdServer> checked{{now, true, false}, {now, true, true}};
    CHECK(choosePossiblyCold(checked) == PossiblyColdChoice{{1}, false});
    const std::vector<PossiblyColdServer> used{{now, false, false}, {now, true, false}};
    CHECK(choosePossiblyCold(used) == PossiblyColdChoice{{}, true});
    const std::vector<PossiblyColdServer> others{{now - 1s, false, false},
                                                 {now - 2s, false, false}};
    CHECK(choosePossiblyCold(others) == PossiblyColdChoice{{1}, false});
}

TEST_CASE("possiblyColdSince_listNotConfirmedWithinItsMaxAge_startsAtItsMaxAge")
{
    const TimePoint confirmed{1h};
    CHECK_FALSE(possiblyColdSince({7, TimePoint{}}, {}, confirmed));
    CHECK_FALSE(possiblyColdSince({7, confirmed}, {}, confirmed + 4s));
    CHECK(possiblyColdSince({7, confirmed}, {}, confirmed + 6s) == confirmed + 5s);
    CHECK(possiblyColdSince({7, confirmed, 2s}, {}, confirmed + 3s) == confirmed + 2s);
}

// Guards against a burst to a server that became cold after its entry was removed, while the list
// itself is confirmed all the time.
TEST_CASE("possiblyColdSince_entryMissingFromACurrentList_startsAtItsRemoval")
{
    const TimePoint confirmed{1h};
    ServerView view;
    view.missingSince = confirmed - 1s;
    CHECK(possiblyColdSince({7, confirmed}, view, confirmed) == confirmed - 1s);
    CHECK(possiblyColdSince({7, confirmed}, view, confirmed + 6s) == confirmed - 1s);
}
