#include "ibisnotch/demand.h"

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
    ask(3s);
    meter.onInstanceDemand("i2", demandOf(20), now);
    meter.onInstanceDemand("i2", demandOf(30), now);
    meter.onInstanceDemand("i3", demandOf(40), now);
    const auto sum = meter.sumRegion(now);
    REQUIRE(sum.size() == 1);
    CHECK(sum[0].requests == Approx(170).epsilon(0.05));
}

// Failure: an instance of the region is lost, so that its reports stop.
TEST_CASE_METHOD(DemandFixture, "demandMeter_instanceStopsReporting_isLeftOut")
{
    meter.onInstanceDemand("i2", demandOf(20), now);
    CHECK(meter.sumRegion(now + 900ms).size() == 1);
    CHECK(meter.sumRegion(now + 1100ms).empty());
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
