#include "ibisnotch/engine-forecast.h"
#include "ibisnotch/engine-statistics.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include <catch2/catch.hpp>

using namespace ibisnotch;

namespace {

struct EngineForecastFixture
{
    EngineState engine;
    EngineWork work;

    EngineForecastFixture()
    {
        engine.slots = 32;
        engine.tokensPerMs = 40;
        engine.eventSeconds = 0.03;
        engine.readingEventSeconds = 0.43;
        engine.cacheTokens = 240'000;
        work.tokensToRead = 4000;
        work.totalTokens = 9000;
        work.events = 10;
    }
};

} // namespace

TEST_CASE_METHOD(EngineForecastFixture, "forecast_idleEngine_readsAndStreamsAtItsUsualSpeed")
{
    const EngineForecast result = forecast(engine, work);
    CHECK(result.firstEventSeconds == Approx(0.1 + 0.03));
    CHECK(result.endSeconds == Approx(0.1 + 0.3));
    CHECK(result.harmSeconds == 0);
    CHECK(result.fitsMemory);
}

TEST_CASE_METHOD(EngineForecastFixture, "forecast_promptsAhead_delayTheFirstEventByTheirReading")
{
    engine.waiting = 5;
    engine.unreadTokens = 20'000;
    const EngineForecast result = forecast(engine, work);
    CHECK(result.firstEventSeconds == Approx(0.5 + 0.1 + 0.03));
}

// Guards against counting free slots only: the first event comes early and the stream starves.
TEST_CASE_METHOD(EngineForecastFixture, "forecast_engineThatReadsAllTheTime_endsAtTheSlowInterval")
{
    work.tokensToRead = 500;
    engine.unreadTokens = 400'000;
    engine.cacheTokens = 0;
    const EngineForecast result = forecast(engine, work);
    CHECK(result.endSeconds - result.firstEventSeconds == Approx(10 * 0.43 - 0.03));
    CHECK(result.longestGapSeconds == Approx(0.43));
}

TEST_CASE_METHOD(EngineForecastFixture, "forecast_someReading_endsLaterByThatReading")
{
    const double idleEnd = forecast(engine, work).endSeconds;
    engine.unreadTokens = 8000;
    const double end = forecast(engine, work).endSeconds;
    CHECK(end > idleEnd + 0.2);
    CHECK(end < idleEnd + 0.4);
}

// Guards against forecasts by what waits now only: a stream lasts longer than that, and meets the
// prompts that arrive in the meantime.
TEST_CASE_METHOD(EngineForecastFixture, "forecast_streamsWereSlowLately_endsAtThatInterval")
{
    engine.recentEventSeconds = 0.1;
    CHECK(forecast(engine, work).endSeconds == Approx(0.1 + 10 * 0.1));
    engine.recentEventSeconds = 5;
    CHECK(forecast(engine, work).endSeconds == Approx(0.1 + 10 * 0.43));
}

TEST_CASE_METHOD(EngineForecastFixture, "forecast_anyEngine_expectsAGapOfAChunk")
{
    CHECK(forecast(engine, work).longestGapSeconds == Approx(2048 / 40.0 / 1000));
}

TEST_CASE_METHOD(EngineForecastFixture, "forecast_slowMachine_multipliesAllTimes")
{
    engine.running = 10;
    engine.unreadTokens = 8000;
    const EngineForecast usual = forecast(engine, work);
    engine.slowdown = 2.5;
    const EngineForecast slow = forecast(engine, work);
    CHECK(slow.firstEventSeconds == Approx(2.5 * usual.firstEventSeconds));
    CHECK(slow.endSeconds == Approx(2.5 * usual.endSeconds));
    CHECK(slow.longestGapSeconds == Approx(2.5 * usual.longestGapSeconds));
    CHECK(slow.harmSeconds == Approx(2.5 * usual.harmSeconds));
}

TEST_CASE_METHOD(EngineForecastFixture, "forecast_runningStreams_areDelayedByTheOwnReading")
{
    engine.running = 20;
    CHECK(forecast(engine, work).harmSeconds == Approx(20 * 0.1));
    work.tokensToRead = 0;
    CHECK(forecast(engine, work).harmSeconds == 0);
}

// Guards against placing by slots where memory binds first: half of the slots are free here.
TEST_CASE_METHOD(EngineForecastFixture, "forecast_memoryFull_waitsAndHarmsMore")
{
    engine.running = 16;
    const EngineForecast fits = forecast(engine, work);
    engine.usedTokens = 238'000;
    const EngineForecast full = forecast(engine, work);
    CHECK(fits.fitsMemory);
    CHECK_FALSE(full.fitsMemory);
    CHECK(full.harmSeconds > fits.harmSeconds);
    CHECK(full.firstEventSeconds > fits.firstEventSeconds);
}

TEST_CASE_METHOD(EngineForecastFixture, "forecast_memoryUnknown_fits")
{
    engine.cacheTokens = 0;
    engine.usedTokens = 1e9;
    CHECK(forecast(engine, work).fitsMemory);
}

TEST_CASE_METHOD(EngineForecastFixture, "forecast_allSlotsTaken_waitsForOne")
{
    engine.running = 32;
    const double one = forecast(engine, work).firstEventSeconds;
    engine.waiting = 8;
    const double nine = forecast(engine, work).firstEventSeconds;
    CHECK(one > 0.13);
    CHECK(nine - 0.13 == Approx(9 * (one - 0.13)));
}

TEST_CASE_METHOD(EngineForecastFixture, "forecast_nothingKnown_isZero")
{
    const EngineForecast result = forecast({}, {100, 100, 10});
    CHECK(result.firstEventSeconds == 0);
    CHECK(result.endSeconds == 0);
    CHECK(result.harmSeconds == 0);
    CHECK(result.fitsMemory);
}

TEST_CASE_METHOD(EngineForecastFixture, "forecast_moreLoad_isNeverBetter")
{
    double lastEnd = 0;
    for (int i = 0; i < 40; ++i) {
        engine.running = i;
        engine.unreadTokens = 3000.0 * i;
        engine.usedTokens = 9000.0 * i;
        const EngineForecast result = forecast(engine, work);
        CHECK(result.endSeconds >= lastEnd);
        CHECK(result.endSeconds >= result.firstEventSeconds);
        lastEnd = result.endSeconds;
    }
}

// Started by hand: a choice among 64 engines may take 20 us on one core.
TEST_CASE_METHOD(EngineForecastFixture, "forecast_64Engines_takesLessThan20us", "[.][benchmark]")
{
    std::vector<EngineState> engines(64, engine);
    for (std::size_t i = 0; i < engines.size(); ++i) {
        engines[i].unreadTokens = 1000.0 * static_cast<double>(i % 7);
        engines[i].usedTokens = 5000.0 * static_cast<double>(i);
    }
    constexpr int rounds = 2000;
    double sum = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        double least = 1e9;
        for (const EngineState &one : engines)
            least = std::min(least, forecast(one, work).endSeconds);
        sum += least;
        work.tokensToRead += 1;
    }
    const std::chrono::duration<double, std::micro> elapsed
        = std::chrono::steady_clock::now() - start;
    WARN("us for a choice: " << elapsed.count() / rounds << ", least end: " << sum / rounds);
    CHECK(elapsed.count() / rounds < 20);
}

// Load: while all answers come from engines with a queue, no prompt shows the reading rate alone.
TEST_CASE("engineStatistics_promptsReadBehindOthers_giveALowerBoundOfTheRate")
{
    EngineStatistics statistics;
    CHECK(statistics.readRate("p") == 0);
    statistics.onPromptRead("p", 3000, std::chrono::milliseconds(600));
    statistics.onPromptRead("p", 3000, std::chrono::milliseconds(100));
    statistics.onPromptRead("p", 100, std::chrono::milliseconds(1));
    CHECK(statistics.readRate("p") == Approx(30));
}
