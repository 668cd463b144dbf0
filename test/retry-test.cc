#include "ibisnotch/retry.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

const std::vector<AttemptOutcome> allOutcomes{
    AttemptOutcome::answered,  AttemptOutcome::notConnected,   AttemptOutcome::refusedNotRun,
    AttemptOutcome::rejected,  AttemptOutcome::connectionLost, AttemptOutcome::silent,
    AttemptOutcome::truncated, AttemptOutcome::mismatched,     AttemptOutcome::serverError};

RetryInput anyInput()
{
    RetryInput input;
    input.outcome = *rc::gen::elementOf(allOutcomes);
    input.idempotent = *rc::gen::arbitrary<bool>();
    input.callerHasSeenBytes = *rc::gen::arbitrary<bool>();
    input.attemptsMade = *rc::gen::inRange(1, 6);
    input.remaining = std::chrono::milliseconds(*rc::gen::inRange(-100, 5000));
    input.expected = std::chrono::milliseconds(*rc::gen::inRange(1, 1000));
    return input;
}

} // namespace

// What the caller sees: one hot meal, or "outcome unknown". In what order: a booking is sent, the
// connection breaks or goes silent, a retry would be possible. Why: only a certain "not run" lets a
// booking be sent again.
TEST_CASE("mayRetry_bookingWithUnknownOutcome_neverRetries")
{
    rc::prop("never after an unknown outcome", [] {
        const RetryInput input = anyInput();
        if (decideRetry(input) != RetryDecision::retry)
            return;
        RC_ASSERT(input.idempotent || certainlyNotRun(input.outcome));
        RC_ASSERT(!input.callerHasSeenBytes);
        RC_ASSERT(input.attemptsMade < maxAttempts);
        RC_ASSERT(input.remaining >= input.expected);
        RC_ASSERT(input.outcome != AttemptOutcome::rejected);
    });
}

TEST_CASE("finalCode_always_saysNotRunOnlyWhereThatIsCertain")
{
    for (const AttemptOutcome outcome : allOutcomes) {
        if (outcome == AttemptOutcome::answered)
            continue;
        for (const bool idempotent : {false, true}) {
            for (const bool late : {false, true}) {
                const bool saysNotRun
                    = resultInfo(finalResultCode(outcome, idempotent, late)).runState
                    == RunState::notRun;
                CHECK(saysNotRun == certainlyNotRun(outcome));
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
            for (int attempt = 1; attempt < maxAttempts; ++attempt)
                retries += budget.tryAcquire("c", "s") ? 1 : 0;
        }
        RC_ASSERT(retries <= 5 + share * requests + 1e-6);
    });
}

TEST_CASE("retryBudget_ofOneCustomer_leavesTheOthersAlone")
{
    RetryBudget budget(2);
    CHECK(budget.tryAcquire("a", "s"));
    CHECK(budget.tryAcquire("a", "s"));
    CHECK_FALSE(budget.tryAcquire("a", "s"));
    CHECK(budget.tryAcquire("b", "s"));
}

// What the operator sees: a request on more servers than its service allows. In what order: it
// fails here, is handed to another region, fails there, and is sent once more. Why: each instance
// counted its own attempts only.
TEST_CASE("mayRetry_runsOfAllInstancesUsedUp_givesUp")
{
    RetryInput input;
    input.outcome = AttemptOutcome::serverError;
    input.remaining = std::chrono::seconds(5);
    input.maxRuns = 2;
    input.runsMade = 1;
    CHECK(decideRetry(input) == RetryDecision::retry);
    input.runsMade = 2;
    CHECK(decideRetry(input) == RetryDecision::abandon);
    input.runsMade = 0;
    input.outcome = AttemptOutcome::callerLeft;
    CHECK(decideRetry(input) == RetryDecision::abandon);
}

// What the operator sees: more retries than all instances may make. In what order: they are killed
// together and start again, and each finds its savings full. Why: the bound holds for any ten
// seconds, also across a restart.
TEST_CASE("retryBudget_shareOfAFleetsBound_beginsEmptyAndSavesUpToIt")
{
    RetryBudget budget;
    budget.setBurst(2);
    CHECK_FALSE(budget.tryAcquire("c", "s"));
    for (int i = 0; i < 100; ++i)
        budget.onRequest("c", "s", 0.2);
    CHECK(budget.tryAcquire("c", "s"));
    CHECK(budget.tryAcquire("c", "s"));
    CHECK_FALSE(budget.tryAcquire("c", "s"));
    for (int i = 0; i < 100; ++i)
        budget.onRequest("c", "s", 0.2);
    budget.setBurst(1);
    CHECK(budget.tryAcquire("c", "s"));
    CHECK_FALSE(budget.tryAcquire("c", "s"));
}

// Guards against a bound that is spent once by each customer.
TEST_CASE("retryBudget_sharedBound_isOneForAllCustomers")
{
    RetryBudget budget;
    budget.setBurst(1);
    for (int i = 0; i < 10; ++i)
        budget.onRequest("c" + std::to_string(i), "s", 0.2);
    CHECK(budget.tryAcquire("c1", "s"));
    CHECK_FALSE(budget.tryAcquire("c2", "s"));
}
