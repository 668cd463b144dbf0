// Bookings on real processes.
#include <csignal>
#include <future>
#include <thread>

#include <catch2/catch.hpp>

#include "fleet.h"
#include "ibisnotch/result-code.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

constexpr int code(ResultCode result)
{
    return static_cast<int>(result);
}

struct BookingFleetFixture
{
    Fleet fleet{FleetShape{}};
};

struct TwoRegions
{
    Fleet fleet{FleetShape{.regions = 2}};
};

} // namespace

TEST_CASE_METHOD(BookingFleetFixture, "booking_sentTwice_runsOnceAndIsReportedAsRepeated")
{
    const std::string own = fleet.callerKey();
    CHECK(fleet.book("a1", own).code == code(ResultCode::served));
    eventually("the outcome is on the page",
               [&] { return fleet.book("a2", own).code == code(ResultCode::bookingRepeated); });
    CHECK(fleet.book("a1", own, "{\"n\":2}").code == code(ResultCode::bookingKeyReused));
    CHECK(fleet.totalRuns(own) == 1);

    const std::string issued = fleet.issuedKey("a1");
    const Reply first = fleet.book("a2", issued);
    CHECK(first.code == code(ResultCode::served));
    const Reply again = fleet.book("a1", issued);
    CHECK(again.code == code(ResultCode::bookingRepeated));
    CHECK(again.body == first.body);
    CHECK(fleet.totalRuns(issued) == 1);
}

// What the caller sees: "outcome unknown" once. In what order: a booking uses a connection that was
// kept from an earlier one; the server runs it and closes without an answer. Why: libcurl sends
// again by itself on a kept connection, so bookings get a connection of their own.
TEST_CASE_METHOD(BookingFleetFixture, "booking_connectionClosedAfterTheRun_isNotSentAgain")
{
    for (int i = 0; i < 4; ++i) {
        fleet.book("a1", fleet.callerKey());
        fleet.readStatus("a1");
    }
    fleet.setFault("a-a1", "drop");
    const std::string key = fleet.callerKey();
    const Reply reply = fleet.book("a1", key);
    CHECK(reply.code == code(ResultCode::outcomeUnknown));
    CHECK(reply.runState == "unknown");
    CHECK(fleet.totalRuns(key) == 1);
    fleet.setFault("a-a1", "none");
    CHECK(fleet.book("a2", key).code == code(ResultCode::outcomeUnknown));
    CHECK(fleet.totalRuns(key) == 1);
}

// What the caller sees: its connection breaks; sent again elsewhere, "outcome unknown". In what
// order: the claim is on the page, the booking is at the server, the holder is killed. Why: a claim
// without an outcome is never sent again.
TEST_CASE_METHOD(BookingFleetFixture, "booking_holderKilledBeforeTheResponse_isNotSentAgain")
{
    fleet.setFault("a-a1", "hang");
    const std::string key = fleet.callerKey();
    auto first = std::async(std::launch::async, [&] { return fleet.book("a1", key); });
    eventually("the booking is at the server", [&] {
        return fleet.adminStatus("a1").find("\"inFlightHere\":1") != std::string::npos;
    });
    fleet.stop("a1", SIGKILL);
    CHECK_FALSE(first.get().isComplete);
    fleet.setFault("a-a1", "none");
    CHECK(fleet.book("a2", key).code == code(ResultCode::outcomeUnknown));
    CHECK(fleet.totalRuns(key) == 0);
}

// What the caller sees: one booking. In what order: the store applies the claim and loses the
// answer, or applies it late. Why: the claim is read back, and the attempt's number decides.
TEST_CASE_METHOD(BookingFleetFixture, "booking_storeLosesResponses_runsAtMostOnce")
{
    for (const char *mode : {"loseAnswers", "late", "refuse"}) {
        INFO(mode);
        fleet.setFault("store", mode, 2);
        const std::string key = fleet.callerKey();
        auto other = std::async(std::launch::async, [&] { return fleet.book("a2", key); });
        const Reply one = fleet.book("a1", key);
        const Reply two = other.get();
        const int runs = fleet.totalRuns(key);
        CHECK(runs <= 1);
        if (one.runState == "not run" && two.runState == "not run")
            CHECK(runs == 0);
        fleet.setFault("store", "none");
        eventually("the claim is settled", [&] {
            return fleet.book("a1", key).code != code(ResultCode::storeUnreachable);
        });
        CHECK(fleet.totalRuns(key) <= 1);
    }
}

// What the caller sees: with its own key "not run, come back, or use an issued key"; with an issued
// key its booking. In what order: the store goes down and stays down. Why: issued keys are kept in
// the memory of the instance that issued them.
TEST_CASE_METHOD(BookingFleetFixture, "booking_storeDown_refusesCallerKeysAndAcceptsIssuedKeys")
{
    fleet.setFault("store", "down");
    const std::string own = fleet.callerKey();
    const Reply refused = fleet.book("a1", own);
    CHECK(refused.code == code(ResultCode::storeUnreachable));
    CHECK(refused.runState == "not run");
    CHECK(refused.retryAfter > 0);
    const std::string issued = fleet.issuedKey("a1");
    CHECK(fleet.book("a2", issued).code == code(ResultCode::served));
    CHECK(fleet.totalRuns(issued) == 1);
    CHECK(fleet.totalRuns(own) == 0);
    fleet.setFault("store", "none");
    eventually("the refused key can be used",
               [&] { return fleet.book("a2", own).code == code(ResultCode::served); });
    CHECK(fleet.totalRuns(own) == 1);
}

// What the caller sees: one booking. In what order: the holder of a claim is frozen before it
// sends, the caller sends again through another instance, the holder wakes. Why: the claim was
// taken once and is never handed on, however long its holder sleeps.
TEST_CASE_METHOD(BookingFleetFixture, "booking_holderPausedBetweenClaimAndSend_runsAtMostOnce")
{
    fleet.setFault("store", "slow");
    const std::string key = fleet.callerKey();
    auto first = std::async(std::launch::async, [&] { return fleet.book("a1", key); });
    std::this_thread::sleep_for(450ms);
    fleet.signal("a1", SIGSTOP);
    fleet.setFault("store", "none");
    const Reply second = fleet.book("a2", key);
    fleet.signal("a1", SIGCONT);
    const Reply woken = first.get();
    const int runs = fleet.totalRuns(key);
    CHECK(runs <= 1);
    if (second.runState == "not run" && woken.runState == "not run")
        CHECK(runs == 0);
}

TEST_CASE_METHOD(BookingFleetFixture, "booking_twoInstancesRaceForAKey_runsOnce")
{
    for (int round = 0; round < 5; ++round) {
        const std::string key = fleet.callerKey();
        auto one = std::async(std::launch::async, [&] { return fleet.book("a1", key); });
        auto two = std::async(std::launch::async, [&] { return fleet.book("a2", key); });
        one.get();
        two.get();
        CHECK(fleet.totalRuns(key) == 1);
    }
}

// What the caller sees: "outcome unknown" with an issued key. In what order: the instance that
// issued it is killed, the caller sends through another. Why: only that incarnation could know
// whether the key was used.
TEST_CASE_METHOD(BookingFleetFixture, "booking_issuerKilled_isUnknownAndNotSentByOthers")
{
    const std::string key = fleet.issuedKey("a1");
    fleet.book("a1", key);
    fleet.stop("a1", SIGKILL);
    CHECK(fleet.book("a2", key).code == code(ResultCode::issuerGone));
    fleet.start("a1");
    fleet.waitReady("a1");
    CHECK(fleet.book("a1", key).code == code(ResultCode::issuerGone));
    CHECK(fleet.totalRuns(key) == 1);
}

// What the caller sees: "not run", then its booking with the same key. In what order: no
// application engine can be reached, then one can. Why: a connection that was never made is
// certain.
TEST_CASE_METHOD(BookingFleetFixture, "booking_noServerReachable_reportsNotRunAndReleasesTheKey")
{
    const std::string own = fleet.callerKey();
    const std::string issued = fleet.issuedKey("a1");
    fleet.stop("a-a1", SIGKILL);
    CHECK(fleet.book("a1", own).runState == "not run");
    CHECK(fleet.book("a1", issued).runState == "not run");
    fleet.start("a-a1");
    eventually("the booking runs",
               [&] { return fleet.book("a2", own).code == code(ResultCode::served); });
    eventually("the other too",
               [&] { return fleet.book("a2", issued).code == code(ResultCode::served); });
    CHECK(fleet.totalRuns(own) == 1);
    CHECK(fleet.totalRuns(issued) == 1);
}

// What callers in the cut region see: bookings go on. In what order: every other region and the
// store stop answering. Why: issued keys, the last configuration and the region's own backend
// servers are all that a booking needs.
TEST_CASE_METHOD(TwoRegions, "booking_regionDisconnected_runsWithIssuedKeys")
{
    for (const char *name : {"store", "b1", "b2", "b-m1", "b-m2", "b-a1"})
        fleet.signal(name, SIGSTOP);
    const std::string key = fleet.issuedKey("a1");
    CHECK(fleet.book("a1", key).code == code(ResultCode::served));
    // The cut region's engines cannot be asked now; ours ran it once.
    CHECK(fleet.runCounts("a-a1")[key] == 1);
    CHECK(fleet.chat("a2", true).code == code(ResultCode::served));
    CHECK(fleet.readStatus("a1").code == code(ResultCode::served));
    for (const char *name : {"store", "b1", "b2", "b-m1", "b-m2", "b-a1"})
        fleet.signal(name, SIGCONT);
    CHECK(fleet.totalRuns(key) == 1);
}

// What the caller sees: its booking runs in another region, once. In what order: its region has no
// application engine left. Why: the instance that took the right to send passes it on to one
// instance and to no other.
TEST_CASE_METHOD(TwoRegions, "booking_noLocalServer_runsOnceInAnotherRegion")
{
    fleet.stop("a-a1", SIGKILL);
    eventually("the loss is noticed",
               [&] { return fleet.adminStatus("a1").find("unreachable") != std::string::npos; });
    for (const std::string &key : {fleet.callerKey(), fleet.issuedKey("a1")}) {
        const Reply reply = fleet.book("a1", key);
        CHECK(reply.code == code(ResultCode::served));
        CHECK(reply.servedBy.find("b-a1") != std::string::npos);
        CHECK(fleet.totalRuns(key) == 1);
    }
}
