#include "ibisnotch/server-speed.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "ibisnotch/engine-statistics.h"
#include "ibisnotch/pick.h"
#include "ibisnotch/region-choice.h"
#include "routing-fixture.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct ServerSpeedFixture
{
    ServerCounters counters;
    TimePoint now{1h};

    // Records the same statement every 50 ms.
    void state(double percent, Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += 50ms)
            recordSlowdown(counters, percent, now, true);
    }
};

} // namespace

TEST_CASE_METHOD(ServerSpeedFixture, "slowdown_nothingStated_isUsual")
{
    CHECK(slowdown(counters, now) == 1);
}

TEST_CASE_METHOD(ServerSpeedFixture, "slowdown_freshStatement_countsInFull")
{
    recordSlowdown(counters, 250, now, true);
    CHECK(slowdown(counters, now + 300ms) == Approx(2.5));
}

// Guards against avoiding a server long after its neighbour has left: most periods of slow work
// last some tenths of a second.
TEST_CASE_METHOD(ServerSpeedFixture, "slowdown_oldStatement_fadesToTheMean")
{
    state(100, 10s);
    state(250, 100ms);
    CHECK(slowdown(counters, now) == Approx(2.5));
    CHECK(slowdown(counters, now + 1s) < 1.5);
    CHECK(slowdown(counters, now + 3s) < 1.1);
}

TEST_CASE_METHOD(ServerSpeedFixture, "slowdown_slowForSeconds_isStillBelievedLater")
{
    state(250, 20s);
    CHECK(slowdown(counters, now + 1s) > 1.7);
    CHECK(slowdown(counters, now + 3s) > 1.2);
}

// Guards against a server that gets no requests for good: it states nothing then, so a belief that
// it is slow can't change.
TEST_CASE_METHOD(ServerSpeedFixture, "slowdown_slowServerIsSilent_isTriedAgain")
{
    state(400, 20s);
    CHECK(slowdown(counters, now + 2s) > 1.5);
    CHECK(slowdown(counters, now + 10s) == 1);
}

TEST_CASE_METHOD(ServerSpeedFixture, "recordSlowdown_invalidOrOlder_isIgnored")
{
    recordSlowdown(counters, 200, now, true);
    for (const double percent : {0.0, -100.0, 1e9, std::numeric_limits<double>::quiet_NaN(),
                                 std::numeric_limits<double>::infinity()}) {
        CHECK_FALSE(isValidSlowdown(percent));
        recordSlowdown(counters, percent, now + 10ms, true);
    }
    recordSlowdown(counters, 100, now - 10ms, true);
    CHECK(slowdown(counters, now + 20ms) == Approx(2));
}

TEST_CASE_METHOD(ServerSpeedFixture, "slowdown_slowServerStatesNothing_isLearntFromItsStreams")
{
    for (int i = 0; i < 20; ++i)
        recordPace(counters, 0.039, 0.03);
    CHECK(slowdown(counters, now) == 1);
    for (int i = 0; i < 200; ++i)
        recordPace(counters, 0.039, 0.03);
    CHECK(slowdown(counters, now) == Approx(1.3).margin(0.02));
}

// What a server states includes the kind of its machine; its streams are slow for that reason too.
TEST_CASE_METHOD(ServerSpeedFixture, "slowdown_serverStatesItsSpeed_isNotCountedTwice")
{
    for (int i = 0; i < 300; ++i)
        recordPace(counters, 0.06, 0.03);
    state(130, 20s);
    CHECK(slowdown(counters, now) == Approx(1.3).margin(0.01));
}

TEST_CASE_METHOD(ServerSpeedFixture, "recordPace_anyInterval_staysBounded")
{
    for (int i = 0; i < 1000; ++i)
        recordPace(counters, 0.0001, 0.03);
    CHECK(slowdown(counters, now) == Approx(0.5));
    for (int i = 0; i < 1000; ++i)
        recordPace(counters, 3, 0.03);
    CHECK(slowdown(counters, now) == Approx(2));
}

// Work moves to the usual servers as the load of the slow one counts for more, and returns.
TEST_CASE_METHOD(RoutingFixture, "pick_slowServer_getsWorkInProportionToItsSpeed")
{
    add("slow", 2, 6);
    add("usual", 3, 6);
    makeCandidates();
    PickInput input;
    Random random(1);
    TwoChoicesPicker picker;
    input.candidates = candidates;
    CHECK(picker.pick(input, random) == 0);
    recordSlowdown(*views[0].counters, 250, TimePoint{1h}, true);
    addSlowdowns(candidates, TimePoint{1h});
    CHECK(candidates[0].slowdown == Approx(2.5));
    CHECK(picker.pick(input, random) == 1);
    addSlowdowns(candidates, TimePoint{1h} + 120s);
    CHECK(picker.pick(input, random) == 0);
}

TEST_CASE_METHOD(RoutingFixture, "summarizeLoad_slowServers_countAsFewerSlots")
{
    add("a", 1, 30);
    add("b", 1, 30);
    makeCandidates();
    CHECK(summarizeLoad("r", "m", candidates).slots == 60);
    recordSlowdown(*views[1].counters, 200, TimePoint{1h}, true);
    addSlowdowns(candidates, TimePoint{1h});
    CHECK(summarizeLoad("r", "m", candidates).slots == Approx(45));
}

// Guards against choosing by slots alone: the slow engine has fewer requests, but ends later.
TEST_CASE_METHOD(RoutingFixture, "pick_enginesWithStates_comparesForecasts")
{
    add("slow", 6, 32);
    add("usual", 8, 32);
    makeCandidates();
    for (ServerView &view : views)
        view.counters->tokensPerMs = 40;
    recordSlowdown(*views[0].counters, 250, TimePoint{1h}, true);
    addEngineEstimates(candidates, 1000, TimePoint{1h});
    addSlowdowns(candidates, TimePoint{1h});
    const EngineFacts facts{0.03, 0.03, 0.4, 5000};
    addEngineStates(candidates, facts, 1000, 240'000);
    REQUIRE(candidates[0].engine);
    CHECK(candidates[0].engine->usedTokens == Approx(30'000));
    CHECK(candidates[0].engine->slowdown == Approx(2.5));
    PickInput input;
    input.candidates = candidates;
    input.work = {1000, 2000, 20};
    input.comparesForecasts = true;
    Random random(1);
    TwoChoicesPicker picker;
    CHECK(picker.pick(input, random) == 1);
}

TEST_CASE("facts_streamsBesideReadingAndWithout_areToldApart")
{
    EngineStatistics statistics;
    CHECK(statistics.facts("pool") == EngineFacts{});
    // An engine that reads prompts during one stream of five, on a machine that is twice as slow
    // during two of ten.
    for (int i = 0; i < 2000; ++i) {
        const int slowdown = i % 10 < 2 ? 2 : 1;
        const Duration interval = i % 5 == 0 ? 400ms : 30ms;
        statistics.onStreamEnded(
            "pool", "s", {1000, 11, 10 * interval * slowdown, static_cast<double>(slowdown)});
    }
    const EngineFacts facts = statistics.facts("pool");
    CHECK(facts.eventSeconds == Approx(0.03).epsilon(0.2));
    CHECK(facts.meanEventSeconds == Approx(0.104).epsilon(0.3));
    CHECK(facts.readingEventSeconds == Approx(0.4).epsilon(0.2));
}

TEST_CASE("usualInterval_streamOfTwoEvents_isUnknown")
{
    CHECK(usualInterval({1000, 2, 100ms, 1}) == 0);
    CHECK(usualInterval({1000, 11, 100ms, 2}) == Approx(0.005));
}

// Urgent requests are read before others that came earlier.
TEST_CASE("aheadPart_urgentAndOtherService_differ")
{
    EngineStatistics statistics;
    CHECK(statistics.aheadPart("urgent") == 1);
    for (int i = 0; i < 100; ++i) {
        statistics.onFirstEvent("urgent", 0.1, 0.5);
        statistics.onFirstEvent("other", 1, 0.5);
    }
    CHECK(statistics.aheadPart("urgent") == Approx(0.2));
    CHECK(statistics.aheadPart("other") == Approx(2));
}

TEST_CASE("facts_shortAndLongStreams_weighsMemoryByTime")
{
    EngineStatistics statistics;
    for (int i = 0; i < 500; ++i) {
        statistics.onStreamEnded("pool", "short", {9000, 6, 100ms, 1});
        statistics.onStreamEnded("pool", "long", {1000, 30, 900ms, 1});
    }
    CHECK(statistics.facts("pool").heldTokens == Approx(1800).epsilon(0.1));
    CHECK(statistics.meanEvents("short") == Approx(6));
    CHECK(statistics.meanEvents("long") == Approx(30));
}

TEST_CASE_METHOD(ServerSpeedFixture, "isSlowdownNews_usualAndUnchanged_isNone")
{
    recordSlowdown(counters, 105, now, true);
    CHECK_FALSE(isSlowdownNews(counters, now));
    recordSlowdown(counters, 250, now + 10ms, true);
    CHECK(isSlowdownNews(counters, now + 10ms));
    counters.slowdownSharedPercent = 250;
    counters.slowdownSharedAt = (now + 10ms).time_since_epoch().count();
    recordSlowdown(counters, 250, now + 100ms, true);
    CHECK_FALSE(isSlowdownNews(counters, now + 100ms));
    recordSlowdown(counters, 250, now + 500ms, true);
    CHECK(isSlowdownNews(counters, now + 500ms));
    recordSlowdown(counters, 100, now + 510ms, true);
    CHECK(isSlowdownNews(counters, now + 510ms));
}

TEST_CASE_METHOD(RoutingFixture, "addEngineStates_memoryAndWaiting_areEstimated")
{
    add("a", 10, 32);
    makeCandidates();
    views[0].waiting = 4;
    views[0].counters->tokensPerMs = 40;
    addEngineEstimates(candidates, 2000, TimePoint{1h});
    addEngineStates(candidates, {0.03, 0.03, 0.4, 5000}, 2000, 240'000);
    const EngineState &engine = *candidates[0].engine;
    CHECK(engine.waiting == 4);
    CHECK(engine.running == 6);
    CHECK(engine.unreadTokens == Approx(8000));
    CHECK(engine.usedTokens == Approx(30'000));
    CHECK(engine.cacheTokens == 240'000);
    CHECK(engine.slowdown == 1);
}

namespace {

// A region's table with two servers, as one instance has it.
struct SpeedTable
{
    ServerTable table{ServerTable::Limits{}};

    SpeedTable()
    {
        FleetConfig config;
        for (const std::string name : {"a", "b"}) {
            BackendServer server;
            server.name = name;
            server.address = name + ":1";
            config.servers[name] = server;
        }
        table.setConfig(std::make_shared<const FleetConfig>(config));
    }

    ServerCounters &counters(std::size_t server, TimePoint now)
    {
        return *table.routingTable(now).servers.at(server).counters;
    }
};

} // namespace

TEST_CASE("collectNewSpeeds_heardOrReceived_reachesTheOthersOnce")
{
    const TimePoint now{1h};
    SpeedTable first;
    SpeedTable reporter;
    SpeedTable other;
    recordSlowdown(first.counters(1, now), 250, now, true);
    const auto told = first.table.collectNewSpeeds(now + 50ms, 10, false);
    REQUIRE(told == std::vector{CompactSpeed{serverId("b"), 250, 5}});
    CHECK(first.table.collectNewSpeeds(now + 60ms, 10, false).empty());
    reporter.table.onSpeed(told[0], now + 60ms, true);
    const auto relayed = reporter.table.collectNewSpeeds(now + 100ms, 10, true);
    REQUIRE(relayed.size() == 1);
    other.table.onSpeed(relayed[0], now + 100ms, false);
    CHECK(slowdown(other.counters(1, now), now + 100ms) == Approx(2.5));
    CHECK(slowdown(other.counters(0, now), now + 100ms) == 1);
    CHECK(other.table.collectNewSpeeds(now + 200ms, 10, false).empty());
}

// A failure: the message is lost, so the other instances learn of the slow server by the next one.
TEST_CASE("collectNewSpeeds_messageIsLost_repeatsWhileTheServerIsSlow")
{
    TimePoint now{1h};
    SpeedTable first;
    recordSlowdown(first.counters(0, now), 250, now, true);
    CHECK(first.table.collectNewSpeeds(now, 10, false).size() == 1);
    recordSlowdown(first.counters(0, now), 250, now + 500ms, true);
    CHECK(first.table.collectNewSpeeds(now + 500ms, 10, false).size() == 1);
}

// A failure: a peer sends what no server may state, or names a server that isn't known here.
TEST_CASE("onSpeed_invalidOrUnknown_isIgnored")
{
    const TimePoint now{1h};
    SpeedTable table;
    table.table.onSpeed({serverId("a"), 0, 0}, now, false);
    table.table.onSpeed({serverId("a"), 0xffff, 0}, now, false);
    table.table.onSpeed({serverId("c"), 250, 0}, now, false);
    CHECK(slowdown(table.counters(0, now), now) == 1);
}

namespace {

// Replays requests of 30 ms to servers on shared machines: at each moment, neighbours make about
// one server of seven 2.5 times as slow for 600 ms. Servers state that with each response.
struct SharedMachines : RoutingFixture
{
    static constexpr int serverCount = 12;
    static constexpr int slotCount = 6;
    std::vector<std::vector<TimePoint>> ends{serverCount}; // of the requests of each server
    Random random{7};

    static double trueSlowdown(int server, TimePoint now)
    {
        const auto period = now.time_since_epoch() / 600ms;
        const std::uint64_t draw = static_cast<std::uint64_t>(period) * 2654435761U
            + static_cast<unsigned>(server) * 40503U;
        return (draw >> 7) % 7 == 0 ? 2.5 : 1;
    }

    // Returns the time that the request takes.
    Duration send(std::size_t server, TimePoint now)
    {
        std::vector<TimePoint> &own = ends[server];
        std::sort(own.begin(), own.end());
        TimePoint start = now;
        if (own.size() >= slotCount)
            start = own[own.size() - slotCount];
        const double factor = trueSlowdown(static_cast<int>(server), start);
        own.push_back(start + std::chrono::duration_cast<Duration>(factor * 30ms));
        return own.back() - now;
    }

    void finish(TimePoint now)
    {
        for (std::size_t i = 0; i < ends.size(); ++i) {
            const auto count
                = std::erase_if(ends[i], [now](const TimePoint end) { return end <= now; });
            if (count > 0)
                recordSlowdown(*views[i].counters, 100 * trueSlowdown(static_cast<int>(i), now),
                               now, true);
        }
    }

    // Returns the part of the requests that take longer than `limit`.
    double lateShare(bool weighsSpeed, Duration limit)
    {
        for (int i = 0; i < serverCount; ++i)
            add(fmt::format("s{}", i), 0, slotCount);
        makeCandidates();
        TwoChoicesPicker picker;
        int late = 0;
        constexpr int requests = 40'000;
        TimePoint now{1h};
        for (int i = 0; i < requests; ++i) {
            now += std::chrono::microseconds(1 + random.below(1600));
            finish(now);
            for (std::size_t k = 0; k < candidates.size(); ++k)
                candidates[k].load = static_cast<double>(ends[k].size());
            if (weighsSpeed)
                addSlowdowns(candidates, now);
            PickInput input;
            input.candidates = candidates;
            late += send(picker.pick(input, random), now) > limit ? 1 : 0;
        }
        return static_cast<double>(late) / requests;
    }
};

} // namespace

// Guards against sending to servers on slow machines as much as to the others.
TEST_CASE("pick_machinesSlowByTurns_fewerRequestsAreSlow")
{
    const double without = SharedMachines().lateShare(false, 60ms);
    const double with = SharedMachines().lateShare(true, 60ms);
    CHECK(without > 0.08);
    CHECK(with < 0.6 * without);
}

// Started by hand: a choice among 64 engines may take 20 us on one core.
TEST_CASE_METHOD(RoutingFixture, "pick_64EnginesWithForecasts_takesLessThan20us", "[.][benchmark]")
{
    for (int i = 0; i < 64; ++i)
        add(fmt::format("s{}", i), i % 20, 32);
    makeCandidates();
    TimePoint now{1h};
    for (ServerView &view : views) {
        view.counters->tokensPerMs = 40;
        recordSlowdown(*view.counters, 130, now, true);
    }
    PickInput input;
    input.work = {1000, 2000, 20};
    input.comparesForecasts = true;
    Random random(1);
    TwoChoicesPicker picker;
    constexpr int rounds = 20'000;
    std::size_t sum = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i, now += 50us) {
        addEngineEstimates(candidates, 2000, now);
        addSlowdowns(candidates, now);
        addEngineStates(candidates, {0.03, 0.05, 0.4, 5000}, 2000, 240'000);
        input.candidates = candidates;
        sum += picker.pick(input, random);
    }
    const std::chrono::duration<double, std::micro> elapsed
        = std::chrono::steady_clock::now() - start;
    WARN("us for a choice: " << elapsed.count() / rounds << ", mean choice: " << sum / rounds);
    CHECK(elapsed.count() / rounds < 20);
}
