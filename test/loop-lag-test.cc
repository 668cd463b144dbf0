#include "ibisnotch/loop-lag.h"

#include <catch2/catch.hpp>

using namespace ibisnotch;
using namespace std::chrono_literals;

TEST_CASE("loopLag_timerInTime_isNone")
{
    const TimePoint start(1h);
    LoopLag lag(100ms, start);
    for (int tick = 1; tick < 5; ++tick) {
        CHECK(lag.at(start + tick * 100ms) == 0ms);
        CHECK(lag.onTick(start + tick * 100ms) == 0ms);
    }
}

// Guards against requests that are taken for new although they waited while the loop stood still.
TEST_CASE("loopLag_stall_countsUntilAllIsHandledThatWaited")
{
    const TimePoint start(1h);
    LoopLag lag(100ms, start);
    CHECK(lag.at(start + 700ms) == 600ms); // read before the timer's turn
    CHECK(lag.onTick(start + 700ms) == 600ms);
    CHECK(lag.at(start + 710ms) == 600ms); // read behind it
    lag.onTurnEnd();
    CHECK(lag.at(start + 720ms) == 0ms);
}

TEST_CASE("loopLag_timerIsSetAgain_forgetsThePause")
{
    const TimePoint start(1h);
    LoopLag lag(100ms, start);
    lag.restart(start + 10s);
    CHECK(lag.at(start + 10s) == 0ms);
}
