// Bookings through real processes.
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

struct TwoRegionsFixture
{
    Fleet fleet{FleetShape{.regions = 2}};
};

} // namespace

TEST_CASE_METHOD(BookingFleetFixture, "booking_sentTwice_runsOnceAndIsReportedAsRepeated")
{
    const std::string callerKey = fleet.callerKey();
    CHECK(fleet.book("a1", callerKey).code == code(ResultCode::served));
    eventually("the outcome is written to the claim page", [&] {
        return fleet.book("a2", callerKey).code == code(ResultCode::bookingRepeated);
    });
    CHECK(fleet.book("a1", callerKey, "{\"n\":2}").code == code(ResultCode::bookingKeyReused));
    CHECK(fleet.totalRuns(callerKey) == 1);

    const std::string issued = fleet.issuedKey("a1");
    const Reply first = fleet.book("a2", issued);
    CHECK(first.code == code(ResultCode::served));
    const Reply again = fleet.book("a1", issued);
    CHECK(again.code == code(ResultCode::bookingRepeated));
    CHECK(again.body == first.body);
    CHECK(fleet.totalRuns(issued) == 1);
}

// Guards against a booking that runs twice. The server runs it and closes the connection without a
// response. On a reused connection libcurl would send the request again by itself, so each booking
// uses a new connection.
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

// Guards against a booking that runs twice. The instance that holds the claim is killed after it
// sent the booking to the server; a claim without an outcome is never sent again by another
// instance.
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

// Guards against a booking that runs twice because the store's response to a claim is lost, or the
// claim is written late. The claim page is read back, and the attempt number decides who holds the
// claim.
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

// Guards against bookings that fail while the store is down. Caller keys are refused as "not run";
// issued keys work, because they are kept in the memory of the instance that issued them.
TEST_CASE_METHOD(BookingFleetFixture, "booking_storeDown_refusesCallerKeysAndAcceptsIssuedKeys")
{
    fleet.setFault("store", "down");
    const std::string callerKey = fleet.callerKey();
    const Reply refused = fleet.book("a1", callerKey);
    CHECK(refused.code == code(ResultCode::storeUnreachable));
    CHECK(refused.runState == "not run");
    CHECK(refused.retryAfter > 0);
    const std::string issued = fleet.issuedKey("a1");
    CHECK(fleet.book("a2", issued).code == code(ResultCode::served));
    CHECK(fleet.totalRuns(issued) == 1);
    CHECK(fleet.totalRuns(callerKey) == 0);
    fleet.setFault("store", "none");
    eventually("the refused key can be used again",
               [&] { return fleet.book("a2", callerKey).code == code(ResultCode::served); });
    CHECK(fleet.totalRuns(callerKey) == 1);
}

// Guards against a booking that runs twice. The holder of the claim is paused before it sends, the
// caller sends again through another instance, and the holder resumes. A claim never passes to
// another instance, however long its holder is paused.
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
    const Reply resumed = first.get();
    const int runs = fleet.totalRuns(key);
    CHECK(runs <= 1);
    if (second.runState == "not run" && resumed.runState == "not run")
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

// Guards against a booking that runs twice after the instance that issued its key was killed. Only
// that incarnation of the instance knows whether the key was used, so the outcome is unknown.
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

// Guards against a key that is blocked by an attempt without a connection, which certainly did not
// run. The caller gets "not run" while no application engine can be reached, and can use the same
// key later.
TEST_CASE_METHOD(BookingFleetFixture, "booking_noServerReachable_reportsNotRunAndReleasesTheKey")
{
    const std::string callerKey = fleet.callerKey();
    const std::string issued = fleet.issuedKey("a1");
    fleet.stop("a-a1", SIGKILL);
    CHECK(fleet.book("a1", callerKey).runState == "not run");
    CHECK(fleet.book("a1", issued).runState == "not run");
    fleet.start("a-a1");
    eventually("the booking with the caller key runs",
               [&] { return fleet.book("a2", callerKey).code == code(ResultCode::served); });
    eventually("the booking with the issued key runs",
               [&] { return fleet.book("a2", issued).code == code(ResultCode::served); });
    CHECK(fleet.totalRuns(callerKey) == 1);
    CHECK(fleet.totalRuns(issued) == 1);
}

// Guards against bookings that fail when all other regions and the store are unreachable. Issued
// keys, the last configuration and the region's own backend servers are sufficient.
TEST_CASE_METHOD(TwoRegionsFixture, "booking_regionDisconnected_runsWithIssuedKeys")
{
    for (const char *name : {"store", "b1", "b2", "b-m1", "b-m2", "b-a1"})
        fleet.signal(name, SIGSTOP);
    const std::string key = fleet.issuedKey("a1");
    CHECK(fleet.book("a1", key).code == code(ResultCode::served));
    // The engines of the other region don't respond now; the local one ran it once.
    CHECK(fleet.runCounts("a-a1")[key] == 1);
    CHECK(fleet.chat("a2", true).code == code(ResultCode::served));
    CHECK(fleet.readStatus("a1").code == code(ResultCode::served));
    for (const char *name : {"store", "b1", "b2", "b-m1", "b-m2", "b-a1"})
        fleet.signal(name, SIGCONT);
    CHECK(fleet.totalRuns(key) == 1);
}

// Guards against a booking that fails or runs twice when its region has no application engine left.
// The instance that acquired the right to send transfers it to exactly one instance of another
// region.
TEST_CASE_METHOD(TwoRegionsFixture, "booking_noLocalServer_runsOnceInAnotherRegion")
{
    fleet.stop("a-a1", SIGKILL);
    eventually("the engine is reported as unreachable",
               [&] { return fleet.adminStatus("a1").find("unreachable") != std::string::npos; });
    for (const std::string &key : {fleet.callerKey(), fleet.issuedKey("a1")}) {
        const Reply reply = fleet.book("a1", key);
        CHECK(reply.code == code(ResultCode::served));
        CHECK(reply.servedBy.find("b-a1") != std::string::npos);
        CHECK(fleet.totalRuns(key) == 1);
    }
}
