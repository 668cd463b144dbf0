// Which requests a stopping instance still passes on.
#include "ibisnotch/planned-stop.h"

#include <catch2/catch.hpp>

using namespace ibisnotch;
using namespace std::chrono_literals;

TEST_CASE("canEndBeforeStop_deadlineIsBeforeTheEnd_isTrueForAnyRun")
{
    CHECK(canEndBeforeStop({2s, 2s, 10s, false}));
    CHECK(canEndBeforeStop({2s, 1s, 10s, true}));
}

TEST_CASE("canEndBeforeStop_deadlineIsLater_dependsOnTheTypicalRun")
{
    CHECK(canEndBeforeStop({3s, 20s, 3s, true}));
    CHECK_FALSE(canEndBeforeStop({3s, 20s, 3001ms, true}));
}

// Guards against a booking that is cut because its run takes a little longer than a typical one.
TEST_CASE("canEndBeforeStop_bookingsRunJustFits_isFalse")
{
    CHECK_FALSE(canEndBeforeStop({3s, 20s, 2900ms, false}));
    CHECK(canEndBeforeStop({3s, 20s, 2s, false}));
}

TEST_CASE("canEndBeforeStop_endIsOver_isFalseUnlessTheDeadlineIsToo")
{
    CHECK_FALSE(canEndBeforeStop({-1s, 20s, 1ms, true}));
    CHECK(canEndBeforeStop({-1s, -2s, 1ms, true}));
}
