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
};

} // namespace

TEST_CASE_METHOD(SilenceFixture, "silence_nothingUnderWay_isNotSilent")
{
    recordFinished(counters, beginStream(), true);
    CHECK_FALSE(isSilent(counters, now + 10s));
}

// What callers see: requests sent to a server that has lost power are lost one after the other,
// each at the end of its time. In what order: streams run there, all stop at once, new requests are
// still sent. Why: the pause of all of them together tells within 600 ms what each alone would tell
// in seconds.
TEST_CASE_METHOD(SilenceFixture, "silence_allStreamsPause_isSilentWithinTheirLongestPause")
{
    beginStream();
    beginStream();
    CHECK_FALSE(isSilent(counters, now + 500ms));
    CHECK(isSilent(counters, now + 600ms));
    recordReceived(counters, now + 650ms);
    CHECK_FALSE(isSilent(counters, now + 700ms));
}

// Guards against a stream that is ended on a sound server of a large region: its instance has no
// other there, and takes the pause of this one for the server's.
TEST_CASE_METHOD(SilenceFixture, "silence_serverAnswersOthersMeanwhile_isNotSilent")
{
    beginStream();
    counters.lastAnsweredAt = (now + 500ms).time_since_epoch().count();
    CHECK_FALSE(isSilent(counters, now + 700ms));
    CHECK(isSilent(counters, now + 1100ms));
}

// Guards against a stream that is ended at a sound server for its pause.
TEST_CASE_METHOD(SilenceFixture, "silence_serverAnswersWhenAsked_isNotUnresponsive")
{
    beginStream();
    CHECK_FALSE(tryAcquireHealthCheck(counters, now + 500ms));
    CHECK(tryAcquireHealthCheck(counters, now + 600ms));
    CHECK_FALSE(tryAcquireHealthCheck(counters, now + 700ms));
    recordHealthCheck(counters, true, now + 610ms);
    CHECK_FALSE(isUnresponsive(counters, now + 900ms));
    CHECK(tryAcquireHealthCheck(counters, now + 910ms));
}

TEST_CASE_METHOD(SilenceFixture, "silence_serverDoesNotAnswerWhenAsked_isUnresponsive")
{
    beginStream();
    CHECK(tryAcquireHealthCheck(counters, now + 600ms));
    CHECK_FALSE(isUnresponsive(counters, now + 800ms));
    recordHealthCheck(counters, false, now + 900ms);
    CHECK(isUnresponsive(counters, now + 900ms));
}

// Guards against a question of an earlier silence that counts for the next one.
TEST_CASE_METHOD(SilenceFixture, "silence_heardSinceTheQuestion_isNotUnresponsiveUntilAskedAgain")
{
    beginStream();
    CHECK(tryAcquireHealthCheck(counters, now + 600ms));
    recordHealthCheck(counters, false, now + 630ms);
    recordReceived(counters, now + 650ms);
    CHECK(isSilent(counters, now + 1300ms));
    CHECK_FALSE(isUnresponsive(counters, now + 1300ms));
    CHECK(tryAcquireHealthCheck(counters, now + 1300ms));
    recordHealthCheck(counters, false, now + 1400ms);
    CHECK(isUnresponsive(counters, now + 1400ms));
}

// What callers see: at a peak, first tokens come after seconds, but they come. Why: an engine that
// reads prompts for others is not silent, and taking it out of use sends its load to the rest.
TEST_CASE_METHOD(SilenceFixture, "silence_onlyFirstTokensAwaited_isNotSilent")
{
    send();
    counters.awaitingFirstToken = 1;
    CHECK_FALSE(isSilent(counters, now + 5s));
}

TEST_CASE_METHOD(SilenceFixture, "silence_noAnswerOfAPlainService_isSilentAfterASecond")
{
    send();
    CHECK_FALSE(isSilent(counters, now + 900ms));
    CHECK(isSilent(counters, now + 1s));
}

TEST_CASE_METHOD(SilenceFixture, "silence_sentAfterALongRest_countsFromTheSend")
{
    recordFinished(counters, beginStream(), true);
    now += 20s;
    send();
    CHECK_FALSE(isSilent(counters, now + 900ms));
}

// What callers see: a server that is back gets no request that may run once, for a minute. In what
// order: it loses power, its streams hang; it is back and answers a health check; the hung streams,
// which their callers still wait for, make it silent again; its next check is not believed. Why:
// what was sent before the check says nothing of the server as it is now.
TEST_CASE_METHOD(SilenceFixture, "silence_streamsHangSinceBefore_sayNothingOnceTheServerIsBack")
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

// What callers see: prompts sent to a server that is still dark. In what order: a health check
// lies, prompts are sent, nothing comes. Why: late first tokens are taken for a full engine, which
// one that was just given back is not.
TEST_CASE_METHOD(SilenceFixture, "silence_nothingHeardSinceItIsBack_isSilentDespiteFirstTokens")
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

// Why: a server that works several times as slowly makes its events that much further apart.
TEST_CASE_METHOD(SilenceFixture, "silence_slowServer_isGivenSomeOfItsUsualPauses")
{
    beginStream();
    counters.eventIntervalSeconds = 0.3;
    CHECK_FALSE(isSilent(counters, now + 1100ms));
    CHECK(isSilent(counters, now + 1200ms));
}
