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

// Guards against a booking that is run twice: if the connection breaks or is silent after the
// booking was sent, it must not be sent again.
TEST_CASE("decideRetry_bookingWithUnknownOutcome_neverRetries")
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

TEST_CASE("finalResultCode_anyOutcome_isNotRunOnlyIfCertain")
{
    for (const AttemptOutcome outcome : allOutcomes) {
        if (outcome == AttemptOutcome::answered)
            continue;
        for (const bool idempotent : {false, true}) {
            for (const bool late : {false, true}) {
                const bool isNotRun
                    = resultInfo(finalResultCode(outcome, idempotent, late)).runState
                    == RunState::notRun;
                CHECK(isNotRun == certainlyNotRun(outcome));
            }
        }
    }
}

// Guards against retries that multiply the load while all backend servers fail.
TEST_CASE("retryBudget_fullOutage_limitsRetriesToTheShare")
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

TEST_CASE("retryBudget_usedUpByOneCustomer_isAvailableToOthers")
{
    RetryBudget budget(2);
    CHECK(budget.tryAcquire("a", "s"));
    CHECK(budget.tryAcquire("a", "s"));
    CHECK_FALSE(budget.tryAcquire("a", "s"));
    CHECK(budget.tryAcquire("b", "s"));
}

// Guards against a request that runs on more servers than its service allows because each instance
// counts only its own attempts: it fails in one region, is forwarded to another and fails there.
TEST_CASE("decideRetry_runsOfAllInstancesUsedUp_abandons")
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

// Guards against exceeding the limit of all instances when these restart together with full
// buckets: the limit holds for any ten seconds, also across a restart.
TEST_CASE("retryBudget_sharedLimit_startsEmptyAndFillsToTheBurst")
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

// Guards against a shared limit that each customer can use up separately.
TEST_CASE("retryBudget_sharedLimit_appliesToAllCustomersTogether")
{
    RetryBudget budget;
    budget.setBurst(1);
    for (int i = 0; i < 10; ++i)
        budget.onRequest("c" + std::to_string(i), "s", 0.2);
    CHECK(budget.tryAcquire("c1", "s"));
    CHECK_FALSE(budget.tryAcquire("c2", "s"));
}

// Guards against retries that are lost to all requests because an attempt ended otherwise after its
// retry had been acquired.
TEST_CASE("retryBudget_released_isAvailableAgainUpToTheBurst")
{
    RetryBudget budget(1);
    REQUIRE(budget.tryAcquire("c", "s"));
    budget.release("c", "s");
    budget.release("c", "s");
    CHECK(budget.tryAcquire("c", "s"));
    CHECK_FALSE(budget.tryAcquire("c", "s"));
}
