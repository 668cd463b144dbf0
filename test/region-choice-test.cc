#include "ibisnotch/region-choice.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct RegionFixture
{
    Service service;
    RegionTable table;
    RegionChooser chooser;
    Random random{1};
    RegionChoiceInput input;
    TimePoint now{1h};

    RegionFixture()
    {
        service.name = "s";
        service.expectedDuration = 400ms;
        input.localRegion = "a";
        input.allowed = {"a", "b", "c"};
        input.reachable = {"b", "c"};
        input.service = &service;
        input.loadKey = service.name;
        input.localLoad = {"a", "s", 8, 0, 0};
        input.oneWayDelay = 80ms;
        input.awayMargin = 200ms;
        table.onLoad({"b", "s", 8, 0, 0}, now);
        table.onLoad({"c", "s", 8, 6, 0}, now);
    }

    RegionDecision choose() { return chooser.choose(input, table, now, random); }
};

} // namespace

// Guards against data that leaves the regions allowed by residency, whatever the loads and
// whichever regions are reachable.
TEST_CASE("regionChooser_underAnyLoad_staysWithinTheAllowedRegions")
{
    rc::prop("allowed or nothing", [](std::uint64_t seed) {
        RegionFixture fixture;
        const auto regions = rc::gen::container<std::vector<std::string>>(
            rc::gen::element<std::string>("a", "b", "c"));
        fixture.input.allowed = *regions;
        fixture.input.reachable = *regions;
        fixture.input.canForward = *rc::gen::arbitrary<bool>();
        fixture.input.localLoad.slots = *rc::gen::inRange(0, 9);
        fixture.input.localLoad.outstanding = *rc::gen::inRange(0, 100);
        for (const char *region : {"b", "c"})
            fixture.table.onLoad({region, "s", double(*rc::gen::inRange(0, 9)),
                                  double(*rc::gen::inRange(0, 100)), 0},
                                 fixture.now + 1s);
        Random random(seed);
        const RegionDecision decision
            = fixture.chooser.choose(fixture.input, fixture.table, fixture.now + 1s, random);
        if (!decision.region)
            return;
        const auto &allowed = fixture.input.allowed;
        RC_ASSERT(std::find(allowed.begin(), allowed.end(), *decision.region) != allowed.end());
        if (!fixture.input.canForward)
            RC_ASSERT(*decision.region == "a");
    });
}

TEST_CASE_METHOD(RegionFixture, "regionChooser_freeLocalRegion_staysLocal")
{
    CHECK(choose().region == "a");
}

TEST_CASE_METHOD(RegionFixture,
                 "regionChooser_longLocalQueue_forwardsToTheRegionWithTheShortestWait")
{
    input.localLoad.outstanding = 60;
    CHECK(choose().region == "b");
    input.canForward = false;
    CHECK(choose().region == "a");
}

TEST_CASE_METHOD(RegionFixture, "regionChooser_highWeightOfForwarding_staysLocalLonger")
{
    input.localLoad.outstanding = 15; // a local wait of 0.4 s and a round trip of 0.16 s
    input.weights = {2, 1, 1, false};
    CHECK(choose().region == "b");
    RegionChooser other;
    input.weights = {1, 2, 2, true};
    CHECK(other.choose(input, table, now, random).region == "a");
}

// Guards against a rejection by the local region, for example of a service of little worth, while
// another region has free slots.
TEST_CASE_METHOD(RegionFixture, "regionChooser_localRegionRejects_forwardsToARegionWithFreeSlots")
{
    input.localRejects = true;
    CHECK(choose().region == "b");
    input.allowed = {"a", "c"};
    CHECK(choose().region == "c");
    table.onLoad({"c", "s", 8, 9, 0}, now + 1s);
    now += 1s;
    CHECK(choose().region == "a");
}

TEST_CASE_METHOD(RegionFixture, "regionChooser_noReachableRegion_staysLocal")
{
    input.reachable.clear();
    input.localLoad.outstanding = 200;
    CHECK(choose().region == "a");
}

TEST_CASE_METHOD(RegionFixture, "regionChooser_noLocalServers_forwardsOrReturnsNone")
{
    input.localLoad.slots = 0;
    CHECK(choose().region == "b");
    input.reachable.clear();
    const RegionDecision decision = choose();
    CHECK_FALSE(decision.region);
    CHECK_FALSE(decision.residencyForbids);
    input.allowed.clear();
    CHECK(choose().residencyForbids);
}

TEST_CASE_METHOD(RegionFixture, "regionTable_outdatedLoad_isNotUsed")
{
    CHECK(table.find("b", "s", now + 10s));
    CHECK_FALSE(table.find("b", "s", now + 20s));
    table.onLoad({"b", "s", 8, 50, 30000}, now + 10s);
    CHECK(table.find("b", "s", now + 10s)->outstanding == 0);
}

// Guards against late first tokens when prompts with a long common prefix arrive in all regions and
// each region reads the prefix, which takes longer than forwarding to the region that caches it.
TEST_CASE_METHOD(RegionFixture, "regionChooser_remoteHolderWithFreeSlots_forwardsToIt")
{
    input.holderRegion = "b";
    input.sharedReadSeconds = 0.2;
    CHECK(choose().region == "b");
    input.canForward = false;
    CHECK(choose().region == "a");
    input.canForward = true;
    table.onLoad({"b", "s", 8, 8, 0}, now + 1s);
    now += 1s;
    CHECK(choose().region == "a");
    input.holderRegion = "nowhere";
    CHECK(choose().region == "a");
}

// Guards against a wait that alternates between two regions: all instances learn of free capacity
// at the same time, and the next loads arrive half a second later. Only a part of the requests may
// be forwarded.
TEST_CASE_METHOD(RegionFixture, "regionChooser_localReadDelay_forwardsAPart")
{
    input.weights = {1, 1, 1, false};
    const auto countForwarded = [&] {
        int forwarded = 0;
        for (int i = 0; i < 1000; ++i)
            forwarded += choose().region == "a" ? 0 : 1;
        return forwarded;
    };
    CHECK(countForwarded() == 0);
    input.localLoad.readDelaySeconds = 0.4;
    const int atShortDelay = countForwarded();
    CHECK(atShortDelay > 50);
    CHECK(atShortDelay < 450);
    input.localLoad.readDelaySeconds = 3;
    CHECK(countForwarded() > atShortDelay);
    CHECK(countForwarded() < 700);
}

// Guards against streams that pause while their server reads a prefix cached in another region: all
// requests at the server wait, not only the new one, whose network delay is a part of its target.
TEST_CASE_METHOD(RegionFixture, "regionChooser_manyWouldWaitForReading_forwardsToTheHolder")
{
    input.weights = {1, 0, 0, false};
    service.targetLatency = 1s;
    input.holderRegion = "b";
    input.sharedReadSeconds = 0.05;
    input.localRunningPerServer = 1;
    CHECK(choose().region == "a");
    input.localRunningPerServer = 20;
    CHECK(choose().region == "b");
    // The request stays local if its first token would be late in the other region.
    table.onLoad({"b", "s", 8, 0, 0, 0.4}, now + 1s);
    now += 1s;
    CHECK(choose().region == "a");
}

TEST_CASE_METHOD(RegionFixture, "regionChooser_holderWithLongerDelay_staysLocal")
{
    input.holderRegion = "b";
    input.sharedReadSeconds = 0.2;
    CHECK(choose().region == "b");
    RegionLoad delayed{"b", "s", 8, 0, 0, 2.0};
    table.onLoad(delayed, now + 1s);
    now += 1s;
    CHECK(choose().region == "a");
}

// Guards against rejecting a request because the load of a region that could run it is unknown.
TEST_CASE_METHOD(RegionFixture, "regionChooser_unknownLoadOfTheOnlyOtherRegion_forwardsToIt")
{
    now += 1h;
    input.allowed = {"b"};
    CHECK(choose().region == "b");
    input.allowed = {"a", "b"};
    CHECK(choose().region == "a");
    input.localLoad.slots = 0;
    CHECK(choose().region == "b");
    input.reachable = {};
    CHECK_FALSE(choose().region);
    input.reachable = {"b"};
    table.onLoad({"b", "s", 0, 0, 0}, now);
    CHECK_FALSE(choose().region);
}
