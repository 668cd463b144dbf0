#include "ibisnotch/silence.h"

#include <catch2/catch.hpp>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct SilenceFixture
{
    ServerCounters counters;
    TimePoint now{100s};

    std::uint32_t send() { return recordSent(counters, now); }

    std::uint32_t beginStream()
    {
        const std::uint32_t recoveryEpoch = send();
        recordReceived(counters, now);
        recordStreamStarted(counters, recoveryEpoch);
        return recoveryEpoch;
    }

    ServerBelief beliefAt(Duration later, ServerBelief before = ServerBelief::responding) const
    {
        return decideBelief(counters, before, true, now + later);
    }
};

} // namespace

TEST_CASE_METHOD(SilenceFixture, "silence_noRequestInFlight_isNotSilent")
{
    recordFinished(counters, beginStream(), true);
    CHECK_FALSE(isSilent(counters, now + 10s));
}

// Guards against requests sent to a server that has lost power. A single stream shows that only
// after seconds; a pause of all streams at once shows it within 600 ms.
TEST_CASE_METHOD(SilenceFixture, "silence_allStreamsPause_isSilentWithinTheirLongestPause")
{
    beginStream();
    beginStream();
    CHECK_FALSE(isSilent(counters, now + 500ms));
    CHECK(isSilent(counters, now + 600ms));
    recordReceived(counters, now + 650ms);
    CHECK_FALSE(isSilent(counters, now + 700ms));
}

// Guards against ending a stream at a working server of a large region, where an instance may have
// a single stream and mistake its pause for silence of the server.
TEST_CASE_METHOD(SilenceFixture, "silence_serverRespondsToOtherInstances_isNotSilent")
{
    beginStream();
    counters.lastRespondedAt = (now + 500ms).time_since_epoch().count();
    CHECK_FALSE(isSilent(counters, now + 700ms));
    CHECK(isSilent(counters, now + 1100ms));
}

// Guards against ending a stream at a working server only because the stream pauses.
TEST_CASE_METHOD(SilenceFixture, "silence_statusCheckPassed_isNotUnresponsive")
{
    beginStream();
    CHECK_FALSE(tryAcquireStatusCheck(counters, now + 500ms));
    CHECK(tryAcquireStatusCheck(counters, now + 600ms));
    CHECK_FALSE(tryAcquireStatusCheck(counters, now + 700ms));
    recordStatusCheck(counters, true, now + 610ms);
    CHECK_FALSE(isUnresponsive(counters, now + 900ms));
    CHECK(tryAcquireStatusCheck(counters, now + 910ms));
}

TEST_CASE_METHOD(SilenceFixture, "silence_statusCheckFailed_isUnresponsive")
{
    beginStream();
    CHECK(tryAcquireStatusCheck(counters, now + 600ms));
    CHECK_FALSE(isUnresponsive(counters, now + 800ms));
    recordStatusCheck(counters, false, now + 900ms);
    CHECK(isUnresponsive(counters, now + 900ms));
}

// Guards against a failed status check of an earlier silence that counts for the next one.
TEST_CASE_METHOD(SilenceFixture,
                 "silence_dataSinceTheStatusCheck_isNotUnresponsiveUntilTheNextFails")
{
    beginStream();
    CHECK(tryAcquireStatusCheck(counters, now + 600ms));
    recordStatusCheck(counters, false, now + 630ms);
    recordReceived(counters, now + 650ms);
    CHECK(isSilent(counters, now + 1300ms));
    CHECK_FALSE(isUnresponsive(counters, now + 1300ms));
    CHECK(tryAcquireStatusCheck(counters, now + 1300ms));
    recordStatusCheck(counters, false, now + 1400ms);
    CHECK(isUnresponsive(counters, now + 1400ms));
}

// Guards against ejecting an engine whose first tokens are late only because it reads the prompts
// of other requests; ejecting it would move its load to the remaining engines.
TEST_CASE_METHOD(SilenceFixture, "silence_onlyFirstTokensAwaited_isNotSilent")
{
    send();
    counters.awaitingFirstToken = 1;
    CHECK_FALSE(isSilent(counters, now + 5s));
}

TEST_CASE_METHOD(SilenceFixture, "silence_noResponseWithoutStream_isSilentAfterASecond")
{
    send();
    CHECK_FALSE(isSilent(counters, now + 900ms));
    CHECK(isSilent(counters, now + 1s));
}

TEST_CASE_METHOD(SilenceFixture, "silence_sentAfterIdleTime_countsFromTheSend")
{
    recordFinished(counters, beginStream(), true);
    now += 20s;
    send();
    CHECK_FALSE(isSilent(counters, now + 900ms));
}

// Guards against a recovered server that is ejected for a minute: streams that it lost in a power
// failure hang while their callers wait, and must not make it silent again after a health check.
TEST_CASE_METHOD(SilenceFixture, "silence_streamsHungBeforeRecovery_areNotCounted")
{
    const std::uint32_t hung = beginStream();
    CHECK(isSilent(counters, now + 600ms));
    now += 1s;
    recordRecovered(counters, now);
    CHECK_FALSE(isSilent(counters, now + 10s));
    beginStream();
    recordFinished(counters, hung, true);
    CHECK_FALSE(isSilent(counters, now + 500ms));
    CHECK(isSilent(counters, now + 600ms));
}

// Guards against prompts sent to a failed server that passes a health check: awaited first tokens
// excuse its silence only once it has sent data since its recovery.
TEST_CASE_METHOD(SilenceFixture, "silence_noDataSinceRecovery_isSilentDespiteFirstTokens")
{
    beginStream();
    now += 1s;
    recordRecovered(counters, now);
    send();
    counters.awaitingFirstToken = 1;
    CHECK_FALSE(isSilent(counters, now + 900ms));
    CHECK(isSilent(counters, now + 1s));
    recordReceived(counters, now + 1s);
    CHECK_FALSE(isSilent(counters, now + 3s));
}

// Guards against ejecting a slow server, whose streams pause for longer between events.
TEST_CASE_METHOD(SilenceFixture, "silence_slowServer_isSilentAfterFourUsualIntervals")
{
    beginStream();
    counters.eventIntervalSeconds = 0.3;
    CHECK_FALSE(isSilent(counters, now + 1100ms));
    CHECK(isSilent(counters, now + 1200ms));
}

// Guards against a region that stops sending to a working server because one stream pauses there.
TEST_CASE_METHOD(SilenceFixture, "belief_singleStreamPauses_isDoubtedUntilAStatusCheckPasses")
{
    beginStream();
    CHECK(beliefAt(500ms) == ServerBelief::responding);
    CHECK(beliefAt(600ms) == ServerBelief::doubted);
    recordStatusCheck(counters, true, now + 610ms);
    CHECK(beliefAt(610ms, ServerBelief::doubted) == ServerBelief::responding);
    CHECK(beliefAt(1500ms) == ServerBelief::responding);
}

// Guards against a region that keeps sending to a server that has lost power.
TEST_CASE_METHOD(SilenceFixture, "belief_statusCheckFails_isSilentAtOnce")
{
    beginStream();
    recordStatusCheck(counters, false, now + 900ms);
    CHECK(beliefAt(900ms, ServerBelief::doubted) == ServerBelief::silent);
}

// Guards against a region that leaves a server because of a status check that failed before the
// server sent data again.
TEST_CASE_METHOD(SilenceFixture, "belief_dataSinceTheFailedStatusCheck_isOnlyDoubted")
{
    beginStream();
    recordStatusCheck(counters, false, now + 900ms);
    recordReceived(counters, now + 950ms);
    CHECK(beliefAt(1000ms) == ServerBelief::responding);
    CHECK(beliefAt(1550ms) == ServerBelief::doubted);
}

// Guards against new requests of this instance to a server at which all of its streams hang; by
// chance several seldom pause at once.
TEST_CASE_METHOD(SilenceFixture, "belief_severalStreamsPause_staysDoubtedAfterAPassedStatusCheck")
{
    beginStream();
    beginStream();
    recordStatusCheck(counters, true, now + 610ms);
    CHECK(beliefAt(620ms) == ServerBelief::doubted);
    recordReceived(counters, now + 700ms);
    CHECK(beliefAt(710ms, ServerBelief::doubted) == ServerBelief::responding);
}

// Guards against requests sent to a recovered server that passes every check without doing any
// work.
TEST_CASE_METHOD(SilenceFixture, "belief_noDataSinceRecovery_isSilentDespitePassedStatusChecks")
{
    beginStream();
    now += 2s;
    recordRecovered(counters, now);
    send();
    counters.awaitingFirstToken = 1;
    recordStatusCheck(counters, true, now + 900ms);
    CHECK(beliefAt(900ms) == ServerBelief::responding);
    CHECK(beliefAt(1s) == ServerBelief::silent);
}

// Guards against a server that stays in use because it passes status checks although it does no
// work for any instance.
TEST_CASE_METHOD(SilenceFixture,
                 "belief_noProgressForAnyInstance_isSilentDespitePassedStatusChecks")
{
    beginStream();
    recordStatusCheck(counters, true, now + 1400ms);
    CHECK(beliefAt(1500ms) == ServerBelief::responding);
    CHECK(beliefAt(1600ms) == ServerBelief::silent);
    counters.lastRespondedAt = (now + 500ms).time_since_epoch().count();
    CHECK(beliefAt(1600ms) == ServerBelief::responding);
}

// Guards against an instance that is cut off and takes all servers out of use for its region.
TEST_CASE_METHOD(SilenceFixture, "belief_instanceCannotJudge_getsNoWorse")
{
    beginStream();
    recordStatusCheck(counters, false, now + 900ms);
    for (const ServerBelief before : {ServerBelief::responding, ServerBelief::doubted})
        CHECK(decideBelief(counters, before, false, now + 1s) == before);
    recordReceived(counters, now + 1s);
    CHECK(decideBelief(counters, ServerBelief::doubted, false, now + 1s)
          == ServerBelief::responding);
}
