#include "ibisnotch/prefix-cache.h"

#include <cmath>

#include <catch2/catch.hpp>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

constexpr double trafficFactor = 12;

struct CacheFixture
{
    TimePoint now{1h};
    PrefixCache cache{PrefixCache::Limits{}, now};
    std::vector<ServerProcess> servers{{1, 100, {}}, {2, 100, {}}};
    std::vector<PromptPart> parts{{11, 2500, ""}, {12, 3800, ""}};

    void answer(std::size_t server, double addedTokens)
    {
        FirstPromptEvent event;
        event.process = servers[server];
        event.sharedParts = parts;
        event.addedTokens = addedTokens;
        cache.onFirstEvent(event, now);
    }
    void answerOther(std::size_t server, double addedTokens)
    {
        FirstPromptEvent event;
        event.process = servers[server];
        event.addedTokens = addedTokens;
        cache.onFirstEvent(event, now);
    }
    PrefixBeliefs beliefs() { return cache.beliefs(servers, parts, trafficFactor, now); }
};

FirstPromptEvent timedEvent(const std::vector<PromptPart> &parts, double foreseen, double elapsed)
{
    FirstPromptEvent event;
    event.sharedParts = parts;
    event.keptTokens = 6300;
    event.foreseenSeconds = foreseen;
    event.elapsedSeconds = elapsed;
    event.tokensPerMs = 40;
    return event;
}

} // namespace

TEST_CASE_METHOD(CacheFixture, "prefixCache_firstEvent_showsThatTheServerHoldsTheParts")
{
    CHECK(std::isinf(beliefs().parts[0].tokensSince[0]));
    answer(0, 3000);
    CHECK(beliefs().parts[0].tokensSince[0] == 0);
    CHECK(beliefs().parts[1].tokensSince[0] == 0);
    CHECK(std::isinf(beliefs().parts[1].tokensSince[1]));
}

TEST_CASE_METHOD(CacheFixture, "prefixCache_otherWorkSince_countsForAllInstances")
{
    answer(0, 3000);
    answerOther(0, 1000);
    answerOther(1, 50000);
    CHECK(beliefs().parts[0].tokensSince[0] == Approx(1000 * trafficFactor));
}

TEST_CASE("keptProbability_roomFilledAnew_falls")
{
    CHECK(keptProbability(0, 100000) == 1);
    CHECK(keptProbability(50000, 100000) > 0.9);
    CHECK(keptProbability(100000, 100000) == Approx(0.5));
    CHECK(keptProbability(200000, 100000) < 0.1);
    CHECK(keptProbability(INFINITY, 100000) == 0);
    CHECK(keptProbability(0, 0) == 0);
}

// Guards against prompts sent to a server for parts that it lost when its process started again.
TEST_CASE_METHOD(CacheFixture, "prefixCache_serverRestarted_keepsNothing")
{
    answer(0, 3000);
    answer(1, 3000);
    now += 1s;
    servers[0].incarnation = 200;
    CHECK(std::isinf(beliefs().parts[0].tokensSince[0]));
    CHECK(beliefs().servers[0].emptyAt == now);
    CHECK(beliefs().parts[0].tokensSince[1] == 0);
    now += 1s;
    answer(0, 3000);
    CHECK(beliefs().parts[0].tokensSince[0] == 0);
}

// Guards against the same after a server has become cold in the same process.
TEST_CASE_METHOD(CacheFixture, "prefixCache_serverBecameCold_keepsNothing")
{
    answer(0, 3000);
    now += 1s;
    servers[0].coldSince = now;
    CHECK(std::isinf(beliefs().parts[0].tokensSince[0]));
    CHECK(beliefs().servers[0].emptyAt == now);
}

TEST_CASE_METHOD(CacheFixture, "prefixCache_incarnationNotKnownYet_isNoRestart")
{
    servers[0].incarnation = 0;
    answer(0, 3000);
    now += 1s;
    servers[0].incarnation = 100;
    CHECK(beliefs().parts[0].tokensSince[0] == 0);
}

TEST_CASE_METHOD(CacheFixture, "prefixCache_requests_showTheDemandOfAllInstances")
{
    now += 60s;
    const double unseen = beliefs().parts[0].requestsPerSecond;
    CHECK(unseen > 0);
    for (int i = 0; i < 200; ++i) {
        cache.onRequest(parts, now);
        now += 500ms;
    }
    CHECK(beliefs().parts[0].requestsPerSecond - unseen == Approx(2 * trafficFactor).epsilon(0.1));
    now += 200s;
    CHECK(beliefs().parts[0].requestsPerSecond == Approx(unseen).epsilon(0.1));
}

// Guards against one request of an instance that has just started being taken for a great demand.
TEST_CASE_METHOD(CacheFixture, "prefixCache_firstRequestOfAll_isNoGreatDemand")
{
    cache.onRequest(parts, now);
    CHECK(beliefs().parts[0].requestsPerSecond <= 1.2 * trafficFactor);
    now += 20s;
    CHECK(beliefs().parts[0].requestsPerSecond < 0.2 * trafficFactor);
}

TEST_CASE_METHOD(CacheFixture, "prefixCache_addedTokens_giveTheRateOfOneServer")
{
    for (int i = 0; i < 100; ++i) {
        answerOther(0, 1000);
        now += 100ms;
    }
    // 10,000 tokens a second by this instance, to one of two servers.
    CHECK(beliefs().tokensPerSecond == Approx(10000 * trafficFactor / 2).epsilon(0.1));
}

TEST_CASE_METHOD(CacheFixture, "prefixCache_serversOfAnotherPool_doNotCountForTheRate")
{
    for (int i = 0; i < 100; ++i) {
        answerOther(0, 1000);
        answerOther(1, 100);
        now += 100ms;
    }
    servers.erase(servers.begin());
    CHECK(beliefs().tokensPerSecond == Approx(1000 * trafficFactor).epsilon(0.1));
}

TEST_CASE_METHOD(CacheFixture, "prefixCache_manyParts_staysBoundedAndKeepsTheNewest")
{
    answer(0, 10);
    for (std::uint64_t i = 0; i < 20000; ++i) {
        const std::vector<PromptPart> others{{1000 + i, 100, ""}};
        FirstPromptEvent event;
        event.process = servers[i % 2];
        event.sharedParts = others;
        cache.onFirstEvent(event, now);
        cache.onRequest(others, now);
    }
    CHECK(cache.entryCount() <= 4096);
    CHECK(std::isinf(beliefs().parts[0].tokensSince[0]));
    const std::vector<PromptPart> newest{{1000 + 19999, 100, ""}};
    CHECK(cache.beliefs(servers, newest, trafficFactor, now).parts[0].tokensSince[1] == 0);
}

TEST_CASE_METHOD(CacheFixture, "prefixCache_serversUnderEverNewNames_staysBounded")
{
    for (std::uint32_t i = 0; i < 5000; ++i) {
        servers[0].server = 1000 + i;
        answer(0, 10);
    }
    CHECK(cache.entryCount() <= 2 * 1024 + 2);
    CHECK(beliefs().parts[0].tokensSince[0] == 0);
}

// Guards against a server being taken for a holder while its memory is smaller than supposed.
TEST_CASE_METHOD(CacheFixture, "roomCorrection_eventMuchLaterThanForeseen_lowersTheBelief")
{
    // Reading the shared parts takes 158 ms.
    CHECK(roomCorrection(timedEvent(parts, 0.07, 0.075)) > 1);
    CHECK(roomCorrection(timedEvent(parts, 0.07, 0.1)) == 1);
    CHECK(roomCorrection(timedEvent(parts, 0.07, 0.25)) < 1);
    // After a long wait a late event shows nothing.
    CHECK(roomCorrection(timedEvent(parts, 0.8, 1.5)) == 1);
    // Nothing was foreseen, or nothing believed.
    CHECK(roomCorrection(timedEvent(parts, 0, 0.25)) == 1);
    FirstPromptEvent notKept = timedEvent(parts, 0.15, 0.5);
    notKept.keptTokens = 0;
    CHECK(roomCorrection(notKept) == 1);
}

TEST_CASE_METHOD(CacheFixture, "prefixCache_staleBeliefs_areCorrectedWithinTensOfEvents")
{
    FirstPromptEvent late = timedEvent(parts, 0.07, 0.25);
    late.process = servers[0];
    for (int i = 0; i < 30; ++i)
        cache.onFirstEvent(late, now);
    const double low = beliefs().servers[0].roomFactor;
    CHECK(low == Approx(0.2));
    CHECK(beliefs().servers[1].roomFactor == 1);
    FirstPromptEvent early = timedEvent(parts, 0.07, 0.07);
    early.process = servers[0];
    for (int i = 0; i < 50; ++i)
        cache.onFirstEvent(early, now);
    CHECK(beliefs().servers[0].roomFactor == 1);
}
