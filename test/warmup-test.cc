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

} // namespace

// What callers see: a server that crashes again just as it returns. In what order: it is listed
// cold, every instance takes it for the least loaded, each sends what would be its part of a warm
// one. Why: what a cold server bears is a count for all instances together.
TEST_CASE("warmupInterval_sendersThatAlwaysSend_stayWithinTheBoundTogether")
{
    rc::prop("in any second", [] {
        const int count = *rc::gen::inRange(1, 40);
        const double rate = *rc::gen::inRange(1, 80) / 10.0;
        const WarmupBound bound{1.5, static_cast<double>(*rc::gen::inRange(0, 5))};
        const auto senders = names(count);
        std::deque<TimePoint> sent;
        std::vector<ServerCounters> counters(senders.size());
        for (TimePoint now{1s}; now < TimePoint{6s}; now += 10ms) {
            while (!sent.empty() && now - sent.front() > 1s)
                sent.pop_front();
            for (std::size_t i = 0; i < senders.size(); ++i) {
                const auto pause = warmupInterval(rate, bound, senders, senders[i], "server");
                if (pause && tryAcquireWarmupRequest(counters[i], *pause, TimePoint{}, now))
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

// Guards against a server that turned cold and gets its bound on top of what was sent before the
// news.
TEST_CASE("tryAcquireWarmupRequest_lateColdUpdate_countsRequestsSentBefore")
{
    rc::prop("in any second since it turned cold", [] {
        const WarmupBound bound{1.5, 3};
        const double rate = 2.4;
        const auto senders = names(3);
        const TimePoint cold{2s};
        const TimePoint known = cold + std::chrono::milliseconds(*rc::gen::inRange(0, 200));
        std::vector<ServerCounters> counters(senders.size());
        std::deque<TimePoint> sent;
        // Up to two requests of each sender reach it before the news.
        std::vector<int> unaware(senders.size(), 0);
        for (TimePoint now{1s}; now < TimePoint{6s}; now += 10ms) {
            while (!sent.empty() && now - sent.front() > 1s)
                sent.pop_front();
            for (std::size_t i = 0; i < senders.size(); ++i) {
                const auto pause = warmupInterval(rate, bound, senders, senders[i], "server");
                const bool sends = now < known
                    ? now >= cold && unaware[i] < 2 && *rc::gen::inRange(0, 4) == 0
                    : pause && tryAcquireWarmupRequest(counters[i], *pause, known, now);
                if (!sends)
                    continue;
                unaware[i] += now < known ? 1 : 0;
                recordSent(counters[i], now);
                sent.push_back(now);
            }
            RC_ASSERT(static_cast<double>(sent.size()) <= rate * bound.factor + bound.slack);
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

// Guards against a burst of a large region that reaches a server between its turning cold and the
// next look at it, however late that is answered.
TEST_CASE("possiblyColdShare_burstOfAllSenders_staysWithinTheBoundUntilEachHasChecked")
{
    rc::prop("whatever the looks take", [] {
        // A few senders get more than one request each, of which one may be sent during a look.
        const int mostSenders = *rc::gen::element(3, 100);
        const PossiblyColdFixture fixture(*rc::gen::inRange(1, mostSenders + 1));
        const TimePoint since = fixture.table.list.confirmedAt + fixture.table.list.maxAge;
        const TimePoint cold = since + 2s;
        int sentWhileCold = 0;
        for (const std::string &sender : fixture.table.senders) {
            const auto share
                = possiblyColdShare(fixture.table, fixture.bound, sender, fixture.server);
            RC_ASSERT(share.has_value());
            ServerCounters counters;
            std::optional<std::pair<TimePoint, std::uint32_t>> look; // and what was sent before it
            Duration way{};
            for (TimePoint now = since; now < cold + 1s; now += 20ms) {
                if (look && now >= look->first + way) {
                    // It shows the server as it was half way.
                    if (look->first + way / 2 >= cold)
                        break;
                    recordWarm(counters, look->second, now);
                    look.reset();
                }
                if (!look && needsStatusCheck(counters, since)) {
                    look.emplace(now, counters.possiblyColdSent.load());
                    way = std::chrono::milliseconds(*rc::gen::inRange(1, 400));
                }
                if (*rc::gen::inRange(0, 3) > 0 && tryAcquirePossiblyCold(counters, *share, since))
                    sentWhileCold += now >= cold ? 1 : 0;
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

// Guards against taking a server for warm by a look from before the list grew old.
TEST_CASE("canSendPossiblyCold_checkBeforeTheListGotOld_doesNotCount")
{
    ServerCounters counters;
    CHECK_FALSE(canSendPossiblyCold(counters, 1, TimePoint{1h}));
    recordWarm(counters, 0, TimePoint{1h} - 1s);
    CHECK_FALSE(canSendPossiblyCold(counters, 1, TimePoint{1h}));
    CHECK(needsStatusCheck(counters, TimePoint{1h}));
    recordWarm(counters, 0, TimePoint{1h} + 1s);
    CHECK_FALSE(needsStatusCheck(counters, TimePoint{1h}));
    CHECK(tryAcquirePossiblyCold(counters, 1, TimePoint{1h}));
    CHECK_FALSE(tryAcquirePossiblyCold(counters, 1, TimePoint{1h}));
    CHECK(needsStatusCheck(counters, TimePoint{1h}));
}

// Guards against a refusal while a look is under way, and against one for want of an own server.
TEST_CASE("choosePossiblyCold_noServerReady_waitsOrChoosesTheLongestIdle")
{
    const TimePoint now{1h};
    CHECK(choosePossiblyCold({}) == PossiblyColdChoice{});
    const std::vector<PossiblyColdServer> looked{{now, true, false}, {now, true, true}};
    CHECK(choosePossiblyCold(looked) == PossiblyColdChoice{{1}, false});
    const std::vector<PossiblyColdServer> used{{now, false, false}, {now, true, false}};
    CHECK(choosePossiblyCold(used) == PossiblyColdChoice{{}, true});
    const std::vector<PossiblyColdServer> others{{now - 1s, false, false},
                                                 {now - 2s, false, false}};
    CHECK(choosePossiblyCold(others) == PossiblyColdChoice{{1}, false});
}

TEST_CASE("possiblyColdSince_listNotConfirmedWithinItsMaxAge_startsAtItsMaxAge")
{
    const TimePoint heard{1h};
    CHECK_FALSE(possiblyColdSince({7, TimePoint{}}, {}, heard));
    CHECK_FALSE(possiblyColdSince({7, heard}, {}, heard + 4s));
    CHECK(possiblyColdSince({7, heard}, {}, heard + 6s) == heard + 5s);
    CHECK(possiblyColdSince({7, heard, 2s}, {}, heard + 3s) == heard + 2s);
}

// Guards against a burst at a server that turned cold after its entry had vanished, while the list
// is confirmed all the time.
TEST_CASE("possiblyColdSince_entryMissingFromACurrentList_startsAtItsRemoval")
{
    const TimePoint heard{1h};
    ServerView view;
    view.missingSince = heard - 1s;
    CHECK(possiblyColdSince({7, heard}, view, heard) == heard - 1s);
    CHECK(possiblyColdSince({7, heard}, view, heard + 6s) == heard - 1s);
}
