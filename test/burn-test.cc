#include "ibisnotch/burn.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

TEST_CASE("burnRate_oneBadInAHundredAtNinetyNine_isOne")
{
    BurnCounter counter;
    const WallTime now{1000h};
    for (int i = 0; i < 100; ++i)
        counter.count("s", "c", i == 0, now);
    const auto series = counter.series();
    const auto minute = std::chrono::duration_cast<std::chrono::minutes>(1000h).count();
    CHECK(burnRate(series.at(0), minute, 5, 0.99) == Approx(1));
    CHECK(burnRate(series.at(0), minute + 5, 5, 0.99) == 0);
    CHECK(burnRate(series.at(0), minute + 5, 60, 0.99) == Approx(1));
}

TEST_CASE("burnCounter_overDays_keepsSixHours")
{
    BurnCounter counter;
    for (int minute = 0; minute < 2000; ++minute)
        counter.count("s", "c", false, WallTime(std::chrono::minutes(minute)));
    CHECK(counter.series().at(0).minutes.size() == 360);
}

TEST_CASE("mergeBurn_ofParts_equalsOneCounter")
{
    rc::prop("merge is addition", [] {
        BurnCounter whole;
        BurnCounter parts[2];
        for (int i = 0; i < 40; ++i) {
            const auto service = *rc::gen::element<std::string>("s", "t");
            const bool bad = *rc::gen::arbitrary<bool>();
            const WallTime now{std::chrono::minutes(*rc::gen::inRange(0, 5))};
            whole.count(service, "c", bad, now);
            parts[*rc::gen::inRange(0, 2)].count(service, "c", bad, now);
        }
        RC_ASSERT(mergeBurn({parts[0].series(), parts[1].series()}) == whole.series());
        RC_ASSERT(parseBurn(serializeBurn(whole.series())) == whole.series());
    });
    CHECK(parseBurn("nonsense").empty());
}
