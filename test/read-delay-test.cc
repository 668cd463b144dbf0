#include "ibisnotch/read-delay.h"

#include <catch2/catch.hpp>

#include "routing-fixture.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct ReadDelayFixture
{
    ServerCounters counters;
    TimePoint now{100s};

    void firstTokens(int count, std::int64_t tokens, Duration taken)
    {
        for (int i = 0; i < count; ++i)
            noteFirstToken(counters, tokens, taken, now);
    }
};

} // namespace

TEST_CASE_METHOD(ReadDelayFixture, "readDelay_promptsReadAtOnce_isNone")
{
    firstTokens(50, 3000, 75ms);
    CHECK(readDelay(counters, 1, now) < 5ms);
    CHECK(readTime(counters, 4000) == 100ms);
}

TEST_CASE_METHOD(ReadDelayFixture, "readDelay_lateFirstTokens_isLearntAndForgotten")
{
    firstTokens(1, 3000, 75ms);
    firstTokens(20, 800, 900ms);
    CHECK(readDelay(counters, 1, now) > 700ms);
    CHECK(readDelay(counters, 1, now + 4s) < 100ms);
}

TEST_CASE_METHOD(ReadDelayFixture, "readDelay_promptsUnderWay_countsThemForAllSenders")
{
    counters.pendingTokens = 3000;
    CHECK(readDelay(counters, 1, now) == 100ms);
    CHECK(readDelay(counters, 4, now) == 400ms);
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
