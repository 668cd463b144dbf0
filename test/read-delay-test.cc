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

    void firstTokens(int count, std::int64_t tokens, double waiting, Duration taken)
    {
        for (int i = 0; i < count; ++i)
            recordFirstToken(*view.counters, {tokens, waiting, taken, 0});
    }
};

} // namespace

TEST_CASE_METHOD(ReadDelayFixture, "readDelay_nobodyWaits_isNone")
{
    firstTokens(50, 3000, 0, 75ms);
    CHECK(readDelay(view, 60) == 0ms);
    CHECK(readTime(view.counters->tokensPerMs, 4000) == 100ms);
}

// What callers see: first tokens of seconds, while their instance takes the engine for idle. In
// what order: 27 instances share an engine, each sees one first token in 26 of the others'. Why:
// the engine's own count of waiting requests holds what all of them sent.
TEST_CASE_METHOD(ReadDelayFixture, "readDelay_othersPromptsWait_countsThemAtTheLearntPace")
{
    firstTokens(1, 3000, 0, 75ms);
    firstTokens(60, 800, 8, 820ms);
    view.waiting = 8;
    const double learnt = view.counters->msPerWaitingRequest;
    CHECK(readDelay(view, learnt) > 700ms);
    CHECK(readDelay(view, learnt) < 900ms);
}

TEST_CASE_METHOD(ReadDelayFixture, "readDelay_sentSinceTheReport_countsWhatStillWaits")
{
    view.waiting = 2;
    view.counters->sentSinceReport = 3;
    view.counters->awaitingFirstToken = 1;
    CHECK(readDelay(view, 60) == 180ms);
}

// What callers see: prompts sent to an engine that has just joined, though many wait there. Why:
// how long each takes is learnt from first tokens, of which it has made none; the others' show it.
TEST_CASE_METHOD(RoutingFixture, "addDelays_engineWithoutFirstTokens_isTakenForTheAverage")
{
    add("known", 1, 64);
    add("new", 1, 64);
    makeCandidates();
    for (ServerView &view : views)
        view.waiting = 4;
    addEngineEstimates(candidates, 2000, TimePoint{1h});
    CHECK(candidates[0].readDelaySeconds == 0);
    CHECK(candidates[1].readDelaySeconds == 0);
    // The rate is known: each that waits counts as a prompt of the usual length.
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

// What callers see: first tokens of 1.3 s in the region at its peak, while another has room. In
// what order: prompts arrive faster than the engines read them; their slots are not all taken. Why:
// a count of requests does not show prompts that wait to be read.
TEST_CASE_METHOD(RoutingFixture,
                 "affinityPicker_holderFarBehind_takesTheSecondThatReadsThePartsItself")
{
    // Nobody runs at either, so reading the parts costs the new caller alone.
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

TEST_CASE_METHOD(RoutingFixture, "twoChoicesPicker_serverThatReadsLate_getsNothing")
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
