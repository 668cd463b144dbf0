#include "ibisnotch/region-plan.h"

#include <cmath>
#include <numeric>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;

namespace {

// Three regions of 40, 30 and 20 servers. Short prompts may run in the first two only, long ones
// anywhere; long ones are placed by their prefix.
struct RegionPlanFixture
{
    static constexpr std::uint32_t pool = 1;
    const std::vector<std::string> names{"a", "b", "c"};
    const DemandClass shortClass{pool, 0b011, false};
    const DemandClass longClass{pool, 0b111, true};
    std::vector<RegionDemand> regions{makeRegion("a", 40), makeRegion("b", 30),
                                      makeRegion("c", 20)};
    RegionPlan plan;

    static RegionDemand makeRegion(const std::string &name, float servers)
    {
        return {name, 0, {}, {{pool, servers, 0}}};
    }

    // Sets the demand of the region's callers in busy servers.
    void setDemand(std::size_t region, float shortServers, float longServers)
    {
        constexpr float shortSeconds = 0.045F; // time at a server for each request
        constexpr float longSeconds = 0.07F;
        regions[region].demands
            = {{shortClass, shortServers / shortSeconds, shortServers, shortServers * 25},
               {longClass, longServers / longSeconds, longServers, longServers * 5}};
    }

    void update(int times = 1)
    {
        for (int i = 0; i < times; ++i)
            plan = planRegions({regions, names, 0.36}, plan);
    }

    double utilization(const std::string &region) const
    {
        for (const PlannedLoad &load : plan.loads) {
            if (load.region == region)
                return load.utilization;
        }
        return 0;
    }

    double share(const DemandClass &demandClass, const std::string &from,
                 const std::string &to) const
    {
        const PlanRow *row = plan.find(demandClass, from);
        if (row == nullptr)
            return 0;
        for (const RegionShare &one : row->shares) {
            if (one.region == to)
                return one.share;
        }
        return 0;
    }
};

} // namespace

// Load: a region at 2.8 of its mean while the others are nearly idle.
TEST_CASE_METHOD(RegionPlanFixture, "regionPlan_peakInOneRegion_makesAllRegionsEquallyBusy")
{
    setDemand(0, 30, 16); // more than its 40 servers
    setDemand(1, 2, 1);
    setDemand(2, 2, 1);
    update(4);
    CHECK(utilization("a") < 0.75);
    CHECK(utilization("b") < 0.75);
    CHECK(utilization("c") < 0.75);
    CHECK(std::abs(utilization("a") - utilization("b")) < 0.25);
}

// Load: the region that may run only long prompts is idle while the others are busy with short
// ones.
TEST_CASE_METHOD(RegionPlanFixture, "regionPlan_boundWorkElsewhere_freeWorkLeavesItsRoom")
{
    setDemand(0, 30, 10);
    setDemand(1, 20, 5);
    setDemand(2, 0, 1);
    update(4);
    CHECK(share(longClass, "a", "c") > 0.6);
    CHECK(share(longClass, "b", "c") > 0.6);
    CHECK(share(shortClass, "a", "c") == 0);
}

TEST_CASE_METHOD(RegionPlanFixture, "regionPlan_littleWork_movesNothing")
{
    for (std::size_t i = 0; i < 2; ++i)
        setDemand(i, 2, 0);
    update(4);
    CHECK(share(shortClass, "a", "a") > 0.95);
    CHECK(share(shortClass, "b", "b") > 0.95);
}

TEST_CASE_METHOD(RegionPlanFixture, "regionPlan_peakEnds_workReturns")
{
    setDemand(0, 36, 10);
    setDemand(1, 2, 1);
    update(4);
    CHECK(share(shortClass, "a", "b") > 0.2);
    setDemand(0, 3, 1);
    update(4);
    CHECK(share(shortClass, "a", "a") > 0.95);
}

// Load: after a restart, servers that have lost their cached prompts hold several times the
// requests that the demand explains.
TEST_CASE_METHOD(RegionPlanFixture, "regionPlan_moreOutstandingThanExplained_movesWorkAway")
{
    setDemand(0, 15, 8);
    setDemand(1, 12, 4);
    setDemand(2, 0, 1);
    update(4);
    const double before = share(shortClass, "a", "a");
    regions[0].capacities[0].outstanding = 40 * 41;
    regions[1].capacities[0].outstanding = 30 * 12;
    update(8);
    CHECK(share(shortClass, "a", "a") < before);
    CHECK(std::abs(utilization("a") - utilization("b")) < 0.25);
    regions[0].capacities[0].outstanding = 40 * 12;
    update(20);
    CHECK(share(shortClass, "a", "a") > before - 0.1);
}

// Failure: a region is cut off, so that its reports are missing.
TEST_CASE_METHOD(RegionPlanFixture, "regionPlan_regionIsNotHeard_getsNothing")
{
    setDemand(0, 30, 16);
    setDemand(1, 2, 1);
    setDemand(2, 2, 1);
    update(4);
    regions.erase(regions.begin() + 2);
    update();
    CHECK(share(longClass, "a", "c") == 0);
    CHECK(share(longClass, "a", "a") + share(longClass, "a", "b") == Approx(1));
}

// Failure: all servers of a region are cold or gone.
TEST_CASE_METHOD(RegionPlanFixture, "regionPlan_regionWithoutServers_sendsAllAway")
{
    setDemand(0, 10, 5);
    regions[0].capacities = {{pool, 0, 0}};
    update();
    CHECK(share(shortClass, "a", "a") == 0);
    CHECK(share(shortClass, "a", "b") == Approx(1));
}

// Failure: one of two instances has just started and knows no earlier plan.
TEST_CASE_METHOD(RegionPlanFixture, "regionPlan_instancesWithOtherPasts_agreeSoon")
{
    setDemand(0, 5, 16);
    setDemand(1, 25, 5);
    setDemand(2, 2, 8);
    update(20);
    const RegionPlan old = plan;
    plan = {};
    update(4);
    for (const PlanRow &row : plan.rows) {
        for (const RegionShare &one : row.shares) {
            const PlanRow *other = old.find(row.demandClass, row.from);
            REQUIRE(other != nullptr);
            double otherShare = 0;
            for (const RegionShare &candidate : other->shares)
                otherShare += candidate.region == one.region ? candidate.share : 0;
            CHECK(std::abs(one.share - otherShare) < 0.15);
        }
    }
}

TEST_CASE_METHOD(RegionPlanFixture, "regionPlan_placedClass_isDividedAlikeInAllRegions")
{
    setDemand(0, 10, 8);
    setDemand(1, 10, 2);
    setDemand(2, 0, 1);
    update(2);
    for (const std::uint64_t prefix : {1, 2, 3, 4, 5, 6, 7, 8}) {
        const double draw = drawForPrefix(prefix);
        const std::string region = regionForDraw(*plan.find(longClass, "a"), draw);
        CHECK(regionForDraw(*plan.find(longClass, "b"), draw) == region);
        CHECK(regionForDraw(*plan.find(longClass, "c"), draw) == region);
    }
}

TEST_CASE("regionPlan_anyDemand_sharesAddUpWithinTheAllowedRegions")
{
    rc::prop("shares are complete", [](std::uint64_t seed) {
        const std::vector<std::string> names{"a", "b", "c"};
        std::vector<RegionDemand> regions;
        for (const std::string &name : names) {
            RegionDemand region{name, 0, {}, {{1, *rc::gen::inRange(0, 50) * 1.0F, 0}}};
            for (const std::uint64_t mask : {0b001U, 0b011U, 0b110U, 0b111U})
                region.demands.push_back({{1, mask, (seed & mask) != 0},
                                          *rc::gen::inRange(1, 900) * 1.0F,
                                          *rc::gen::inRange(0, 90) * 1.0F,
                                          *rc::gen::inRange(0, 900) * 1.0F});
            regions.push_back(region);
        }
        const RegionPlan plan = planRegions({regions, names, 0.3}, {});
        for (const PlanRow &row : plan.rows) {
            double sum = 0;
            for (const RegionShare &share : row.shares) {
                const std::size_t at = static_cast<std::size_t>(share.region[0] - 'a');
                RC_ASSERT(((row.demandClass.regions >> at) & 1U) == 1);
                sum += share.share;
            }
            RC_ASSERT(row.shares.empty() || std::abs(sum - 1) < 1e-6);
        }
    });
}

TEST_CASE("drawForPrefix_manyPrefixes_areSpreadEvenly")
{
    constexpr int count = 10000;
    int low = 0;
    for (std::uint64_t prefix = 1; prefix <= count; ++prefix) {
        const double draw = drawForPrefix(prefix);
        REQUIRE(draw >= 0);
        REQUIRE(draw < 1);
        low += draw < 0.25 ? 1 : 0;
    }
    CHECK(low > count / 5);
    CHECK(low < 3 * count / 10);
}
