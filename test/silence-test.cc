#include "ibisnotch/silence.h"

#include <catch2/catch.hpp>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct SilenceFixture
{
    ServerCounters counters;
    TimePoint now{100s};

    void send() { noteSent(counters, counters.inFlight++, now); }

    void beginStream()
    {
        send();
        noteHeard(counters, now);
        ++counters.streaming;
    }
};

} // namespace

TEST_CASE_METHOD(SilenceFixture, "silence_nothingUnderWay_isNotSilent")
{
    beginStream();
    --counters.streaming;
    --counters.inFlight;
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
    noteHeard(counters, now + 650ms);
    CHECK_FALSE(isSilent(counters, now + 700ms));
}

// What callers see: at a peak, first tokens come after seconds, but they come. Why: an engine that
// reads prompts for others is not silent, and taking it out of use sends its load to the rest.
TEST_CASE_METHOD(SilenceFixture, "silence_onlyFirstTokensAwaited_isNotSilent")
{
    send();
    counters.awaitingFirst = 1;
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
    beginStream();
    --counters.streaming;
    --counters.inFlight;
    now += 20s;
    send();
    CHECK_FALSE(isSilent(counters, now + 900ms));
}
