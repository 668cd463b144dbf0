#include "ibisnotch/admission.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct AdmissionFixture
{
    Customer customer{"c", "", {}, {}, 1};
    Service service;
    Admission admission;
    Random random{1};
    AdmissionQuestion question;

    AdmissionFixture()
    {
        service.name = "s";
        service.expected = 100ms;
        question.customer = &customer;
        question.service = &service;
        question.slots = 8;
        question.remaining = 10s;
    }

    ResultCode ask() { return admission.ask(question, random).code; }
};

} // namespace

TEST_CASE_METHOD(AdmissionFixture, "admission_freeSlots_takesTheRequest")
{
    CHECK(ask() == ResultCode::served);
    question.slots = 0;
    CHECK(ask() == ResultCode::noBackendServer);
}

// What callers see: a refusal at once that says when to come back, each a different time. Why:
// those refused together must not come back together.
TEST_CASE_METHOD(AdmissionFixture, "admission_refusals_areSpreadOverTime")
{
    question.outstanding = 100;
    rc::prop("between the wait and twice the wait", [this](std::uint64_t seed) {
        Random own(seed);
        const AdmissionAnswer answer = admission.ask(question, own);
        RC_ASSERT(answer.code == ResultCode::overloaded);
        RC_ASSERT(answer.retryAfter >= 1s);
        RC_ASSERT(answer.retryAfter <= 4s);
    });
    const Duration one = admission.ask(question, random).retryAfter;
    const Duration two = admission.ask(question, random).retryAfter;
    CHECK(one != two);
}

// What the quiet customer sees: its requests are taken. In what order: one customer floods a full
// service, another sends a few. Why: over its share a customer is refused first.
TEST_CASE_METHOD(AdmissionFixture, "admission_floodOfOneCustomer_leavesRoomForTheOthers")
{
    Customer quiet{"quiet", "", {}, {}, 1};
    for (int i = 0; i < 10; ++i)
        admission.onTaken("c", "s", 1);
    admission.onTaken("quiet", "s", 1);
    question.outstanding = 11;
    CHECK(ask() == ResultCode::customerOverShare);
    question.customer = &quiet;
    CHECK(ask() == ResultCode::served);
    for (int i = 0; i < 10; ++i)
        admission.onOver("c", "s");
    question.customer = &customer;
    CHECK(ask() == ResultCode::served);
}

TEST_CASE_METHOD(AdmissionFixture, "admission_deadlineBeforeTheQueueEnds_refusesAtOnce")
{
    question.outstanding = 15;
    question.remaining = 150ms;
    CHECK(ask() == ResultCode::deadlineTooShort);
    question.remaining = 1s;
    CHECK(ask() == ResultCode::served);
    question.outstanding = 0;
    question.remaining = 50ms;
    CHECK(ask() == ResultCode::served);
    question.lateIsUndelivered = true;
    CHECK(ask() == ResultCode::deadlineTooShort);
}

// What callers see: bookings and digests are taken while notes are refused. In what order: the
// queue fills. Why: what is left of it goes to what is worth most to the customer.
TEST_CASE_METHOD(AdmissionFixture, "admission_fillingQueue_refusesWhatIsWorthLessFirst")
{
    question.highestWorth = 10;
    question.outstanding = 13;
    service.worth = 10;
    CHECK(ask() == ResultCode::served);
    service.worth = 1;
    CHECK(ask() == ResultCode::overloaded);
    question.outstanding = 7;
    CHECK(ask() == ResultCode::served);
}

TEST_CASE_METHOD(AdmissionFixture, "admission_fullQueue_refusesLessUrgentServicesFirst")
{
    question.outstanding = 15;
    service.priority = 0;
    CHECK(ask() == ResultCode::served);
    service.priority = 9;
    CHECK(ask() == ResultCode::overloaded);
}
