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

// One engine that reads prompts one after the other, at 50 ms each, with news of its queue that is
// 300 ms old. Callers come at 1.5 times its pace for 20 s; first tokens are due within a second.
struct PeakFixture : AdmissionFixture
{
    static constexpr double readSeconds = 0.05;
    static constexpr double targetSeconds = 1;
    static constexpr double newsAge = 0.3;

    PeakFixture()
    {
        service.targetLatency = 1s;
        input.slots = 64;
    }

    // The part of all callers whose first token comes in time.
    double partInTime(bool turnsAway)
    {
        std::deque<std::pair<double, double>> news; // when, delay of the engine then
        double freeAt = 0;
        int callers = 0;
        int inTime = 0;
        for (double now = 0; now < 20; now += readSeconds / 1.5) {
            news.emplace_back(now, std::max(0.0, freeAt - now));
            while (news.size() > 1 && news[1].first <= now - newsAge)
                news.pop_front();
            ++callers;
            input.promptReadDelaySeconds = news.front().second;
            input.rejectionDraw = turnsAway ? random.uniform() : 1;
            if (decide() != ResultCode::served)
                continue;
            freeAt = std::max(freeAt, now) + readSeconds;
            inTime += freeAt - now <= targetSeconds ? 1 : 0;
        }
        return static_cast<double>(inTime) / callers;
    }
};

} // namespace

// What callers see: at a peak that the engines cannot read, more than half have their first token
// in time and the others are told at once when to come back; else nearly all wait too long. In what
// order: callers at 1.5 times the pace, 20 s long. Why: the queue is kept below the target.
TEST_CASE_METHOD(PeakFixture, "admission_peakBeyondThePace_keepsTheRestInTime")
{
    CHECK(partInTime(false) < 0.2);
    CHECK(partInTime(true) > 0.5);
}

TEST_CASE_METHOD(PeakFixture, "admission_quietEngine_turnsNobodyAway")
{
    input.promptReadDelaySeconds = 0.5;
    input.rejectionDraw = 0;
    CHECK(decide() == ResultCode::served);
    input.promptReadDelaySeconds = 0.7;
    CHECK(decide() == ResultCode::overloaded);
    input.rejectionDraw = 0.9;
    CHECK(decide() == ResultCode::served);
}

// What callers see: the time after which to come back grows with the time that they have. Why:
// those who came back after a second met the same peak and were turned away again.
TEST_CASE_METHOD(PeakFixture, "admission_turnedAwayAtAPeak_comesBackAfterASixthOfTheTimeLeft")
{
    input.promptReadDelaySeconds = 2;
    input.rejectionDraw = 0;
    input.remaining = 15s;
    const Duration pause = admission.decide(input, random).retryAfter;
    CHECK(pause >= 2500ms);
    CHECK(pause <= 5s);
}

TEST_CASE_METHOD(AdmissionFixture, "admission_freeSlots_takesTheRequest")
{
    CHECK(decide() == ResultCode::served);
    input.slots = 0;
    CHECK(decide() == ResultCode::noBackendServer);
}

// What callers see: a refusal at once that says when to come back, each a different time. Why:
// those refused together must not come back together.
TEST_CASE_METHOD(AdmissionFixture, "admission_refusals_areSpreadOverTime")
{
    input.outstanding = 100;
    rc::prop("between the wait and twice the wait", [this](std::uint64_t seed) {
        Random own(seed);
        const AdmissionDecision answer = admission.decide(input, own);
        RC_ASSERT(answer.code == ResultCode::overloaded);
        RC_ASSERT(answer.retryAfter >= 1s);
        RC_ASSERT(answer.retryAfter <= 4s);
    });
    const Duration one = admission.decide(input, random).retryAfter;
    const Duration two = admission.decide(input, random).retryAfter;
    CHECK(one != two);
}

// What the quiet customer sees: its requests are taken. In what order: one customer floods a full
// service, another sends a few. Why: over its share a customer is refused first.
TEST_CASE_METHOD(AdmissionFixture, "admission_floodOfOneCustomer_leavesRoomForTheOthers")
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

TEST_CASE_METHOD(AdmissionFixture, "admission_deadlineBeforeTheQueueEnds_refusesAtOnce")
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

// What callers see: bookings and digests are taken while notes are refused. In what order: the
// queue fills. Why: what is left of it goes to what is worth most to the customer.
TEST_CASE_METHOD(AdmissionFixture, "admission_fillingQueue_refusesWhatIsWorthLessFirst")
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

TEST_CASE_METHOD(AdmissionFixture, "admission_fullQueue_refusesLessUrgentServicesFirst")
{
    input.outstanding = 15;
    input.priority = 0;
    CHECK(decide() == ResultCode::served);
    input.priority = 9;
    CHECK(decide() == ResultCode::overloaded);
}
