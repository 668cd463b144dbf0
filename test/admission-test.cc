#include "ibisnotch/admission.h"

#include <deque>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct AdmissionFixture
{
    Customer customer{"c", {}, {}, {}, 1, {}, {}, false};
    Service service;
    Admission admission;
    Random random{1};
    AdmissionInput input;

    AdmissionFixture()
    {
        service.name = "s";
        service.expectedDuration = 100ms;
        input.customer = &customer;
        input.service = &service;
        input.slots = 8;
        input.remaining = 10s;
    }

    ResultCode decide() { return admission.decide(input, random).code; }
};

// Simulates an engine that reads one prompt every 50 ms and whose read delay is known 300 ms late.
// Prompts arrive at 1.5 times its rate for 20 s; the target for first tokens is one second.
struct PeakFixture : AdmissionFixture
{
    static constexpr double readSeconds = 0.05;
    static constexpr double targetSeconds = 1;
    static constexpr double reportAge = 0.3;

    PeakFixture()
    {
        service.targetLatency = 1s;
        input.slots = 64;
    }

    // Returns the fraction of all prompts whose first token meets the target.
    double fractionInTime(bool rejects)
    {
        std::deque<std::pair<double, double>> reports; // time, and read delay at that time
        double freeAt = 0;
        int prompts = 0;
        int inTime = 0;
        for (double now = 0; now < 20; now += readSeconds / 1.5) {
            reports.emplace_back(now, std::max(0.0, freeAt - now));
            while (reports.size() > 1 && reports[1].first <= now - reportAge)
                reports.pop_front();
            ++prompts;
            input.promptReadDelaySeconds = reports.front().second;
            input.rejectionDraw = rejects ? random.uniform() : 1;
            if (decide() != ResultCode::served)
                continue;
            freeAt = std::max(freeAt, now) + readSeconds;
            inTime += freeAt - now <= targetSeconds ? 1 : 0;
        }
        return static_cast<double>(inTime) / prompts;
    }
};

} // namespace

// Guards against late first tokens for nearly all callers at a peak that engines can't read. By
// rejecting some prompts at once, more than half of all first tokens must be in time.
TEST_CASE_METHOD(PeakFixture, "admission_peakBeyondTheReadingRate_keepsFirstTokensInTime")
{
    CHECK(fractionInTime(false) < 0.2);
    CHECK(fractionInTime(true) > 0.5);
}

TEST_CASE_METHOD(PeakFixture, "admission_shortReadDelay_rejectsNothing")
{
    input.promptReadDelaySeconds = 0.5;
    input.rejectionDraw = 0;
    CHECK(decide() == ResultCode::served);
    input.promptReadDelaySeconds = 0.7;
    CHECK(decide() == ResultCode::overloaded);
    input.rejectionDraw = 0.9;
    CHECK(decide() == ResultCode::served);
}

// Guards against repeated rejections: callers that retried after one second met the same peak and
// were rejected again.
TEST_CASE_METHOD(PeakFixture, "admission_rejectedAtAPeak_retriesAfterASixthOfTheRemainingTime")
{
    input.promptReadDelaySeconds = 2;
    input.rejectionDraw = 0;
    input.remaining = 15s;
    const Duration pause = admission.decide(input, random).retryAfter;
    CHECK(pause >= 2500ms);
    CHECK(pause <= 5s);
}

TEST_CASE_METHOD(AdmissionFixture, "admission_freeSlots_acceptsTheRequest")
{
    CHECK(decide() == ResultCode::served);
    input.slots = 0;
    CHECK(decide() == ResultCode::noBackendServer);
}

// Guards against callers that are rejected together and retry together.
TEST_CASE_METHOD(AdmissionFixture, "admission_rejections_haveJitteredRetryTimes")
{
    input.outstanding = 100;
    rc::prop("between the wait and twice the wait", [this](std::uint64_t seed) {
        Random own(seed);
        const AdmissionDecision decision = admission.decide(input, own);
        RC_ASSERT(decision.code == ResultCode::overloaded);
        RC_ASSERT(decision.retryAfter >= 1s);
        RC_ASSERT(decision.retryAfter <= 4s);
    });
    const Duration one = admission.decide(input, random).retryAfter;
    const Duration two = admission.decide(input, random).retryAfter;
    CHECK(one != two);
}

// Guards against a customer that floods a full service and thereby causes the rejection of the few
// requests of another: a customer over its share is rejected first.
TEST_CASE_METHOD(AdmissionFixture, "admission_floodOfOneCustomer_acceptsRequestsOfOthers")
{
    Customer quiet{"quiet", {}, {}, {}, 1, {}, {}, false};
    for (int i = 0; i < 10; ++i)
        admission.onAdmitted("c", "s", 1);
    admission.onAdmitted("quiet", "s", 1);
    input.outstanding = 11;
    CHECK(decide() == ResultCode::customerOverShare);
    input.customer = &quiet;
    CHECK(decide() == ResultCode::served);
    for (int i = 0; i < 10; ++i)
        admission.onFinished("c", "s");
    input.customer = &customer;
    CHECK(decide() == ResultCode::served);
}

TEST_CASE_METHOD(AdmissionFixture, "admission_deadlineBeforeTheQueueEnds_rejectsAtOnce")
{
    input.outstanding = 15;
    input.remaining = 150ms;
    CHECK(decide() == ResultCode::deadlineTooShort);
    input.remaining = 1s;
    CHECK(decide() == ResultCode::served);
    input.outstanding = 0;
    input.remaining = 50ms;
    CHECK(decide() == ResultCode::served);
    input.lateIsUndelivered = true;
    CHECK(decide() == ResultCode::deadlineTooShort);
}

// Guards against rejecting bookings and digests while notes are accepted: the rest of a filling
// queue is for the services of the most worth.
TEST_CASE_METHOD(AdmissionFixture, "admission_fillingQueue_rejectsServicesOfLessWorthFirst")
{
    input.maxWorth = 10;
    input.outstanding = 13;
    service.worth = 10;
    CHECK(decide() == ResultCode::served);
    service.worth = 1;
    CHECK(decide() == ResultCode::overloaded);
    input.outstanding = 7;
    CHECK(decide() == ResultCode::served);
}

TEST_CASE_METHOD(AdmissionFixture, "admission_fullQueue_rejectsLessUrgentServicesFirst")
{
    input.outstanding = 15;
    input.priority = 0;
    CHECK(decide() == ResultCode::served);
    input.priority = 9;
    CHECK(decide() == ResultCode::overloaded);
}
