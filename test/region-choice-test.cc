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

// What the caller sees: its data stays where it may be. In what order: any load anywhere, any part
// of the fleet reachable. Why: only allowed regions are looked at, before any load is.
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
        const RegionDecision answer
            = fixture.chooser.choose(fixture.input, fixture.table, fixture.now + 1s, random);
        if (!answer.region)
            return;
        const auto &allowed = fixture.input.allowed;
        RC_ASSERT(std::find(allowed.begin(), allowed.end(), *answer.region) != allowed.end());
        if (!fixture.input.canForward)
            RC_ASSERT(*answer.region == "a");
    });
}

TEST_CASE_METHOD(RegionFixture, "regionChooser_freeHome_staysHome")
{
    CHECK(choose().region == "a");
}

TEST_CASE_METHOD(RegionFixture, "regionChooser_longQueueAtHome_goesToTheFreestRegion")
{
    input.localLoad.outstanding = 60;
    CHECK(choose().region == "b");
    input.canForward = false;
    CHECK(choose().region == "a");
}

TEST_CASE_METHOD(RegionFixture, "regionChooser_deploymentThatWeighsSentAway_waitsLonger")
{
    input.localLoad.outstanding = 15; // a wait of 0.4 s at home, 0.16 s of way
    input.weights = {2, 1, 1, false};
    CHECK(choose().region == "b");
    RegionChooser other;
    input.weights = {1, 2, 2, true};
    CHECK(other.choose(input, table, now, random).region == "a");
}

// What the caller sees: an answer from elsewhere in place of a refusal. In what order: its service
// is worth little, so home would refuse it, while another region has free slots.
TEST_CASE_METHOD(RegionFixture, "regionChooser_homeWouldRefuse_goesToARegionWithRoom")
{
    input.localRejects = true;
    CHECK(choose().region == "b");
    input.allowed = {"a", "c"};
    CHECK(choose().region == "c");
    table.onLoad({"c", "s", 8, 9, 0}, now + 1s);
    now += 1s;
    CHECK(choose().region == "a");
}

TEST_CASE_METHOD(RegionFixture, "regionChooser_isolatedRegion_servesItsCallers")
{
    input.reachable.clear();
    input.localLoad.outstanding = 200;
    CHECK(choose().region == "a");
}

TEST_CASE_METHOD(RegionFixture, "regionChooser_homeWithoutServers_sendsAwayOrSaysSo")
{
    input.localLoad.slots = 0;
    CHECK(choose().region == "b");
    input.reachable.clear();
    const RegionDecision answer = choose();
    CHECK_FALSE(answer.region);
    CHECK_FALSE(answer.residencyForbids);
    input.allowed.clear();
    CHECK(choose().residencyForbids);
}

TEST_CASE_METHOD(RegionFixture, "regionTable_oldSummary_isNotUsed")
{
    CHECK(table.find("b", "s", now + 10s));
    CHECK_FALSE(table.find("b", "s", now + 20s));
    table.onLoad({"b", "s", 8, 50, 30000}, now + 10s);
    CHECK(table.find("b", "s", now + 10s)->outstanding == 0);
}

// What callers see: late first tokens in the region at its peak, while others are idle. In what
// order: prompts that share long parts arrive in all regions; each region reads the parts again.
// Why: reading them takes longer than the way to the region that holds them.
TEST_CASE_METHOD(RegionFixture, "regionChooser_holderElsewhereWithRoom_goesThere")
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

// What callers see: late first tokens at home while another region has room, then the reverse. In
// what order: prompts wait to be read at home, all instances hear of room elsewhere at the same
// time. Why: were everything sent there for the half second until the next news, the wait would
// move with it; only a part goes.
TEST_CASE_METHOD(RegionFixture, "regionChooser_promptsWaitAtHome_sendsAPartAway")
{
    input.weights = {1, 1, 1, false};
    const auto partAway = [&] {
        int away = 0;
        for (int i = 0; i < 1000; ++i)
            away += choose().region == "a" ? 0 : 1;
        return away;
    };
    CHECK(partAway() == 0);
    input.localLoad.readDelaySeconds = 0.4;
    const int some = partAway();
    CHECK(some > 50);
    CHECK(some < 450);
    input.localLoad.readDelaySeconds = 3;
    CHECK(partAway() > some);
    CHECK(partAway() < 700);
}

// What callers see: streams that stand still while their server reads long prompts. In what order:
// prompts that share parts held in another region arrive here, where servers run many streams; each
// region reads the parts. Why: all who run at a server wait while it reads, not the new caller
// alone, whose way to the other region would cost it no more than a part of its target.
TEST_CASE_METHOD(RegionFixture,
                 "regionChooser_manyWouldWaitWhileSharedPartsAreRead_goesToTheHolder")
{
    input.weights = {1, 0, 0, false};
    service.targetLatency = 1s;
    input.holderRegion = "b";
    input.sharedReadSeconds = 0.05;
    input.localRunningPerServer = 1;
    CHECK(choose().region == "a");
    input.localRunningPerServer = 20;
    CHECK(choose().region == "b");
    // A first token that would come late there is not worth the servers' time saved.
    table.onLoad({"b", "s", 8, 0, 0, 0.4}, now + 1s);
    now += 1s;
    CHECK(choose().region == "a");
}

TEST_CASE_METHOD(RegionFixture, "regionChooser_holderFurtherBehindThanHome_staysHome")
{
    input.holderRegion = "b";
    input.sharedReadSeconds = 0.2;
    CHECK(choose().region == "b");
    RegionLoad behind{"b", "s", 8, 0, 0, 2.0};
    table.onLoad(behind, now + 1s);
    now += 1s;
    CHECK(choose().region == "a");
}

// Guards against refusals for want of news of a region that could serve.
TEST_CASE_METHOD(RegionFixture, "regionChooser_noLoadHeardOfTheOnlyOtherRegion_sendsThere")
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
