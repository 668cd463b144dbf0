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
            noteFirstToken(*view.counters, tokens, waiting, taken);
    }
};

} // namespace

TEST_CASE_METHOD(ReadDelayFixture, "readDelay_nobodyWaits_isNone")
{
    firstTokens(50, 3000, 0, 75ms);
    CHECK(readDelay(view) == 0ms);
    CHECK(readTime(*view.counters, 4000) == 100ms);
}

// What callers see: first tokens of seconds, while their instance takes the engine for idle. In
// what order: 27 instances share an engine, each sees one first token in 26 of the others'. Why:
// the engine's own count of waiting requests holds what all of them sent.
TEST_CASE_METHOD(ReadDelayFixture, "readDelay_othersPromptsWait_countsThemAtTheLearntPace")
{
    firstTokens(1, 3000, 0, 75ms);
    firstTokens(60, 800, 8, 820ms);
    view.waiting = 8;
    CHECK(readDelay(view) > 700ms);
    CHECK(readDelay(view) < 900ms);
}

TEST_CASE_METHOD(ReadDelayFixture, "readDelay_sentSinceTheReport_countsWhatStillWaits")
{
    view.waiting = 2;
    view.counters->sentSinceReport = 3;
    view.counters->awaitingFirst = 1;
    CHECK(readDelay(view) == 180ms);
}

// What callers see: first tokens of 1.3 s in the region at its peak, while another has room. In
// what order: prompts arrive faster than the engines read them; their slots are not all taken. Why:
// a count of requests does not show prompts that wait to be read.
TEST_CASE_METHOD(RoutingFixture,
                 "affinityPicker_holderFarBehind_takesTheSecondThatReadsThePartsItself")
{
    add("a", 10, 64);
    add("b", 10, 64);
    finish();
    PickQuestion question;
    question.candidates = candidates;
    question.prefix = 77;
    question.sharedSeconds = 0.2;
    AffinityPicker picker;
    Random random(1);
    const std::size_t holder = picker.pick(question, random);
    candidates[holder].delay = 0.15;
    CHECK(picker.pick(question, random) == holder);
    candidates[holder].delay = 0.3;
    CHECK(picker.pick(question, random) != holder);
}

TEST_CASE_METHOD(RoutingFixture, "twoChoicesPicker_serverThatReadsLate_getsNothing")
{
    add("a", 2, 64);
    add("b", 20, 64);
    finish();
    candidates[0].delay = 0.5;
    PickQuestion question;
    question.candidates = candidates;
    TwoChoicesPicker picker;
    Random random(1);
    for (int i = 0; i < 20; ++i)
        CHECK(picker.pick(question, random) == 1);
}
