#include "ibisnotch/demand.h"

#include <limits>

#include <catch2/catch.hpp>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct DemandFixture
{
    const DemandClass demandClass{1, 0b11, false};
    TimePoint now = TimePoint{} + 100s;
    DemandMeter meter;

    // Asks for 100 requests a second, each of 40 ms of a server.
    void ask(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += 10ms)
            meter.onRequest(demandClass, {0.04, 0.5}, now);
    }

    // Makes this instance the reporter, while callers ask it for 100 requests a second or nothing.
    void becomeReporter(bool callersAsk)
    {
        for (const TimePoint end = now + 3s; now < end;) {
            meter.sumRegion(now);
            if (callersAsk)
                ask(250ms);
            else
                now += 250ms;
        }
    }

    std::vector<Demand> demandOf(float requests) const
    {
        return {{demandClass, requests, requests * 0.04F, requests * 0.5F}};
    }
};

} // namespace

TEST_CASE_METHOD(DemandFixture, "demandMeter_steadyRequests_measuresTheirRateAndWork")
{
    ask(3s);
    const auto demands = meter.localDemand(now);
    REQUIRE(demands.size() == 1);
    CHECK(demands[0].requests == Approx(100).epsilon(0.05));
    CHECK(demands[0].servers == Approx(4).epsilon(0.05));
    CHECK(demands[0].running == Approx(50).epsilon(0.05));
}

TEST_CASE_METHOD(DemandFixture, "demandMeter_requestsEnd_forgetsThem")
{
    ask(1s);
    CHECK(meter.localDemand(now + 10s).empty());
}

TEST_CASE_METHOD(DemandFixture, "demandMeter_reportsOfInstances_areAddedUp")
{
    becomeReporter(true);
    meter.onInstanceDemand("i2", demandOf(20), now);
    meter.onInstanceDemand("i2", demandOf(30), now);
    meter.onInstanceDemand("i3", demandOf(40), now);
    const auto sum = meter.sumRegion(now);
    REQUIRE(sum);
    REQUIRE(sum->size() == 1);
    CHECK(sum->front().requests == Approx(170).epsilon(0.05));
}

// Failure: the reporter of a region is lost, and the next one lacks the reports of the others.
TEST_CASE_METHOD(DemandFixture, "demandMeter_newReporter_reportsNothingForASecond")
{
    ask(1s);
    meter.onInstanceDemand("i2", demandOf(20), now);
    CHECK_FALSE(meter.sumRegion(now));
    CHECK_FALSE(meter.sumRegion(now + 500ms));
    CHECK(meter.sumRegion(now + 1000ms));
    // It was not the reporter in between.
    CHECK_FALSE(meter.sumRegion(now + 3000ms));
}

// Failure: a peer sends amounts that are no numbers.
TEST_CASE_METHOD(DemandFixture, "demandMeter_amountsThatAreNoNumbers_areDropped")
{
    auto demands = demandOf(20);
    demands.push_back(demands.front());
    demands.back().servers = std::numeric_limits<float>::quiet_NaN();
    const float infinite = std::numeric_limits<float>::infinity();
    meter.onRegionDemand({"a", 0, demands, {{1, infinite, 0}, {1, 3, -1}, {1, 3, 1}}}, now);
    const auto regions = meter.regions(now);
    REQUIRE(regions.size() == 1);
    CHECK(regions[0].demands == demandOf(20));
    CHECK(regions[0].capacities == std::vector<PoolCapacity>{{1, 3, 1}});
}

// Failure: an instance of the region is lost, so that its reports stop.
TEST_CASE_METHOD(DemandFixture, "demandMeter_instanceStopsReporting_isLeftOut")
{
    becomeReporter(false);
    meter.onInstanceDemand("i2", demandOf(20), now);
    meter.sumRegion(now + 400ms);
    CHECK(meter.sumRegion(now + 900ms).value().size() == 1);
    CHECK(meter.sumRegion(now + 1100ms).value().empty());
}

// Failure: a region is cut off, so that its reports grow old.
TEST_CASE_METHOD(DemandFixture, "demandMeter_regionStopsReporting_isLeftOut")
{
    meter.onRegionDemand({"a", 500, demandOf(20), {{1, 4, 0}}}, now);
    const auto regions = meter.regions(now + 1s);
    REQUIRE(regions.size() == 1);
    CHECK(regions[0].ageMs == 1500);
    CHECK(meter.regions(now + 1600ms).empty());
}

// Failure: reports arrive in another order than they were sent in.
TEST_CASE_METHOD(DemandFixture, "demandMeter_olderReportArrivesLater_isDropped")
{
    meter.onRegionDemand({"a", 0, demandOf(20), {}}, now);
    meter.onRegionDemand({"a", 300, demandOf(99), {}}, now + 100ms);
    CHECK(meter.regions(now + 100ms)[0].demands == demandOf(20));
}

TEST_CASE("regionMask_unknownRegions_areLeftOut")
{
    CHECK(regionMask({"c", "a", "x"}, {"a", "b", "c"}) == 0b101);
}
