#include "ibisnotch/read-delay.h"

#include <catch2/catch.hpp>

#include "routing-fixture.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct ReadDelayFixture
{
    ServerView view;

    ReadDelayFixture() { view.counters = std::make_shared<ServerCounters>(); }

    void recordFirstTokens(int count, std::int64_t tokens, double waiting, Duration elapsed)
    {
        for (int i = 0; i < count; ++i)
            recordFirstToken(*view.counters, {tokens, waiting, elapsed, 0});
    }
};

} // namespace

TEST_CASE_METHOD(ReadDelayFixture, "readDelay_noWaitingRequests_isZero")
{
    recordFirstTokens(50, 3000, 0, 75ms);
    CHECK(readDelay(view, 60) == 0ms);
    CHECK(readTime(view.counters->tokensPerMs, 4000) == 100ms);
}

// Guards against sending prompts to a busy engine that looks idle: if 27 instances share an engine,
// each sees few of its first tokens, but the engine's count of waiting requests includes all of
// them.
TEST_CASE_METHOD(ReadDelayFixture, "readDelay_promptsOfOtherInstancesWait_countsThem")
{
    recordFirstTokens(1, 3000, 0, 75ms);
    recordFirstTokens(60, 800, 8, 820ms);
    view.waiting = 8;
    const double msPerWaitingRequest = view.counters->msPerWaitingRequest;
    CHECK(readDelay(view, msPerWaitingRequest) > 700ms);
    CHECK(readDelay(view, msPerWaitingRequest) < 900ms);
}

TEST_CASE_METHOD(ReadDelayFixture, "readDelay_sentSinceTheReport_countsPromptsWithoutFirstToken")
{
    view.waiting = 2;
    view.counters->sentSinceReport = 3;
    view.counters->awaitingFirstToken = 1;
    CHECK(readDelay(view, 60) == 180ms);
}

// Guards against overloading an engine that has just joined: it has sent no first tokens yet, so
// its delay per waiting request is estimated from the other engines.
TEST_CASE_METHOD(RoutingFixture, "addEngineEstimates_engineWithoutFirstTokens_getsTheMean")
{
    add("known", 1, 64);
    add("new", 1, 64);
    makeCandidates();
    for (ServerView &view : views)
        view.waiting = 4;
    addEngineEstimates(candidates, 2000, TimePoint{1h});
    CHECK(candidates[0].readDelaySeconds == 0);
    CHECK(candidates[1].readDelaySeconds == 0);
    // Once the rate is known, each waiting request counts as a prompt of mean length.
    recordFirstToken(*views[0].counters, {1000, 0, 25ms, 0});
    addEngineEstimates(candidates, 2000, TimePoint{1h});
    CHECK(candidates[0].readDelaySeconds == Approx(0.2));
    CHECK(candidates[1].readDelaySeconds == Approx(0.2));
    for (int i = 0; i < 60; ++i)
        recordFirstToken(*views[0].counters, {1000, 2, 225ms, 40});
    addEngineEstimates(candidates, 2000, TimePoint{1h});
    CHECK(candidates[0].readDelaySeconds == Approx(0.4).margin(0.01));
    CHECK(candidates[1].readDelaySeconds == candidates[0].readDelaySeconds);
}

// Guards against first tokens of 1.3 s at a peak while other servers are free: the number of
// requests doesn't show prompts that wait to be read while slots are free.
TEST_CASE_METHOD(RoutingFixture, "affinityPicker_holderWithLongDelay_picksTheSecondHolder")
{
    // No requests run at either server, so reading the prefix delays only the new one.
    add("a", 0, 64);
    add("b", 0, 64);
    makeCandidates();
    const PickInput input = prefixInput(0.2);
    AffinityPicker picker;
    Random random(1);
    const std::size_t holder = picker.pick(input, random);
    candidates[holder].readDelaySeconds = 0.15;
    CHECK(picker.pick(input, random) == holder);
    candidates[holder].readDelaySeconds = 0.3;
    CHECK(picker.pick(input, random) != holder);
}

TEST_CASE_METHOD(RoutingFixture, "twoChoicesPicker_serverWithReadDelay_isNotPicked")
{
    add("a", 2, 64);
    add("b", 20, 64);
    makeCandidates();
    candidates[0].readDelaySeconds = 0.5;
    PickInput input;
    input.candidates = candidates;
    TwoChoicesPicker picker;
    Random random(1);
    for (int i = 0; i < 20; ++i)
        CHECK(picker.pick(input, random) == 1);
}
