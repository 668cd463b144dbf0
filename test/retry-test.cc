#include "ibisnotch/retry.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

const std::vector<AttemptEnd> allEnds{
    AttemptEnd::answered,       AttemptEnd::notConnected, AttemptEnd::refusedNotRun,
    AttemptEnd::refusedForGood, AttemptEnd::brokenOff,    AttemptEnd::silent,
    AttemptEnd::cutShort,       AttemptEnd::notOurs,      AttemptEnd::serverError};

RetryQuestion anyQuestion()
{
    RetryQuestion question;
    question.end = *rc::gen::elementOf(allEnds);
    question.idempotent = *rc::gen::arbitrary<bool>();
    question.callerHasSeenBytes = *rc::gen::arbitrary<bool>();
    question.attemptsMade = *rc::gen::inRange(1, 6);
    question.remaining = std::chrono::milliseconds(*rc::gen::inRange(-100, 5000));
    question.expected = std::chrono::milliseconds(*rc::gen::inRange(1, 1000));
    return question;
}

} // namespace

// What the caller sees: one hot meal, or "outcome unknown". In what order: a booking is sent, the
// connection breaks or goes silent, a retry would be possible. Why: only a certain "not run" lets a
// booking be sent again.
TEST_CASE("mayRetry_bookingWithUnknownOutcome_neverRetries")
{
    rc::prop("never after an unknown outcome", [] {
        const RetryQuestion question = anyQuestion();
        if (mayRetry(question) != RetryAnswer::retry)
            return;
        RC_ASSERT(question.idempotent || certainlyNotRun(question.end));
        RC_ASSERT(!question.callerHasSeenBytes);
        RC_ASSERT(question.attemptsMade < mostAttempts);
        RC_ASSERT(question.remaining >= question.expected);
        RC_ASSERT(question.end != AttemptEnd::refusedForGood);
    });
}

TEST_CASE("finalCode_always_saysNotRunOnlyWhereThatIsCertain")
{
    for (const AttemptEnd end : allEnds) {
        if (end == AttemptEnd::answered)
            continue;
        for (const bool idempotent : {false, true}) {
            for (const bool late : {false, true}) {
                const bool saysNotRun
                    = resultInfo(finalCode(end, idempotent, late)).runState == RunState::notRun;
                CHECK(saysNotRun == certainlyNotRun(end));
            }
        }
    }
}

// What callers see: errors, but no worse than the outage itself. In what order: every backend
// server fails, every request is tried again. Why: retries are a share of requests, plus a small
// burst.
TEST_CASE("retryBudget_inAFullOutage_boundsRetriesToItsShare")
{
    rc::prop("retries <= burst + share * requests", [] {
        RetryBudget budget(5);
        const double share = *rc::gen::element(0.05, 0.1, 0.3);
        const int requests = *rc::gen::inRange(1, 2000);
        int retries = 0;
        for (int i = 0; i < requests; ++i) {
            budget.onRequest("c", "s", share);
            for (int attempt = 1; attempt < mostAttempts; ++attempt)
                retries += budget.take("c", "s") ? 1 : 0;
        }
        RC_ASSERT(retries <= 5 + share * requests + 1e-6);
    });
}

TEST_CASE("retryBudget_ofOneCustomer_leavesTheOthersAlone")
{
    RetryBudget budget(2);
    CHECK(budget.take("a", "s"));
    CHECK(budget.take("a", "s"));
    CHECK_FALSE(budget.take("a", "s"));
    CHECK(budget.take("b", "s"));
}

// What the operator sees: a request on more servers than its service allows. In what order: it
// fails here, is handed to another region, fails there, and is sent once more. Why: each instance
// counted its own attempts only.
TEST_CASE("mayRetry_runsOfAllInstancesUsedUp_givesUp")
{
    RetryQuestion question;
    question.end = AttemptEnd::serverError;
    question.remaining = std::chrono::seconds(5);
    question.mostRuns = 2;
    question.runsMade = 1;
    CHECK(mayRetry(question) == RetryAnswer::retry);
    question.runsMade = 2;
    CHECK(mayRetry(question) == RetryAnswer::giveUp);
    question.runsMade = 0;
    question.end = AttemptEnd::callerLeft;
    CHECK(mayRetry(question) == RetryAnswer::giveUp);
}

// What the operator sees: more retries than all instances may make. In what order: they are killed
// together and start again, and each finds its savings full. Why: the bound holds for any ten
// seconds, also across a restart.
TEST_CASE("retryBudget_shareOfAFleetsBound_beginsEmptyAndSavesUpToIt")
{
    RetryBudget budget;
    budget.setBurst(2);
    CHECK_FALSE(budget.take("c", "s"));
    for (int i = 0; i < 100; ++i)
        budget.onRequest("c", "s", 0.2);
    CHECK(budget.take("c", "s"));
    CHECK(budget.take("c", "s"));
    CHECK_FALSE(budget.take("c", "s"));
    for (int i = 0; i < 100; ++i)
        budget.onRequest("c", "s", 0.2);
    budget.setBurst(1);
    CHECK(budget.take("c", "s"));
    CHECK_FALSE(budget.take("c", "s"));
}

// Guards against a bound that is spent once by each customer.
TEST_CASE("retryBudget_sharedBound_isOneForAllCustomers")
{
    RetryBudget budget;
    budget.setBurst(1);
    for (int i = 0; i < 10; ++i)
        budget.onRequest("c" + std::to_string(i), "s", 0.2);
    CHECK(budget.take("c1", "s"));
    CHECK_FALSE(budget.take("c2", "s"));
}
