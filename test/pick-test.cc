#include "ibisnotch/pick.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "routing-fixture.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

TEST_CASE("pickers_ofAnyCandidates_chooseOneOfThem")
{
    rc::prop("index in range", [](std::uint64_t seed) {
        RoutingFixture routing;
        const int count = *rc::gen::inRange(1, 6);
        for (int i = 0; i < count; ++i)
            routing.add("s" + std::to_string(i), *rc::gen::inRange(0, 30), 8);
        routing.finish();
        Random random(seed);
        PickInput input;
        input.candidates = routing.candidates;
        input.prefix = *rc::gen::inRange<std::uint64_t>(0, 3);
        RandomPicker one;
        RoundRobinPicker two;
        LeastReportedPicker three;
        TwoChoicesPicker four;
        AffinityPicker five;
        for (Picker *picker : std::initializer_list<Picker *>{&one, &two, &three, &four, &five})
            RC_ASSERT(picker->pick(input, random) < routing.candidates.size());
    });
}

TEST_CASE("affinityPicker_samePrefix_staysOnItsServersWhileTheyHaveRoom")
{
    RoutingFixture routing;
    for (int i = 0; i < 8; ++i)
        routing.add("s" + std::to_string(i), 1, 8);
    routing.finish();
    Random random(1);
    PickInput input;
    input.candidates = routing.candidates;
    input.prefix = 42;
    AffinityPicker picker;
    const std::size_t first = picker.pick(input, random);
    for (int i = 0; i < 50; ++i)
        CHECK(picker.pick(input, random) == first);
    // Its first home is full: the second takes over, and only that.
    routing.candidates[first].load = 8;
    input.candidates = routing.candidates;
    const std::size_t second = picker.pick(input, random);
    CHECK(second != first);
    for (int i = 0; i < 50; ++i)
        CHECK(picker.pick(input, random) == second);
}

// What callers see: late first tokens at a peak, though nobody sends more than before. In what
// order: prompts wait at the server that holds their shared parts; the next one goes to the second,
// which reads the parts, then back. Why: the second server's own streams wait as long as it reads.
// At a peak of 30 streams a server, the holder is left once its queue is longer than what all of
// them would wait together, not once it is longer than one reading.
TEST_CASE("affinityPicker_holderBehindByLessThanReadingCosts_staysWithTheHolder")
{
    RoutingFixture routing;
    for (int i = 0; i < 4; ++i)
        routing.add("s" + std::to_string(i), 30, 128);
    routing.finish();
    Random random(1);
    PickInput input;
    input.candidates = routing.candidates;
    input.prefix = 42;
    input.sharedReadSeconds = 0.05;
    AffinityPicker picker;
    const std::size_t holder = picker.pick(input, random);
    routing.candidates[holder].readDelaySeconds = 0.4;
    input.candidates = routing.candidates;
    CHECK(picker.pick(input, random) == holder);
    routing.candidates[holder].readDelaySeconds = 2;
    input.candidates = routing.candidates;
    CHECK(picker.pick(input, random) != holder);
}

TEST_CASE("prefixOf_twoCustomers_differsForTheSamePrompt")
{
    CHECK(prefixHash("a", "s", "prompt") != prefixHash("b", "s", "prompt"));
    CHECK(prefixHash("a", "s", std::string(600, 'x') + "1")
          == prefixHash("a", "s", std::string(600, 'x') + "2"));
}

TEST_CASE("twoChoicesPicker_freeServers_takesTheCheaper")
{
    RoutingFixture routing;
    routing.add("dear", 0, 8, 4);
    routing.add("cheap", 2, 8, 1);
    routing.finish();
    Random random(1);
    PickInput input;
    input.candidates = routing.candidates;
    TwoChoicesPicker picker;
    for (int i = 0; i < 20; ++i)
        CHECK(picker.pick(input, random) == 1);
}

TEST_CASE("candidatesFor_leavingEjectedAndTried_leavesThemOut")
{
    RoutingFixture routing;
    for (const char *name : {"usable", "leaving", "ejected", "unreachable", "tried", "trial"})
        routing.add(name, 0, 8);
    RoutingTable table;
    table.servers = routing.views;
    table.servers[1].status = ServerStatus::leaving;
    table.servers[2].status = ServerStatus::ejected;
    table.servers[3].status = ServerStatus::unreachable;
    table.servers[5].status = ServerStatus::trial;
    Service service;
    service.model = "m";
    auto found = candidatesForService(table, service, {"tried"});
    REQUIRE(found.size() == 2);
    CHECK(found[0].view->server.name == "usable");
    CHECK(found[1].view->server.name == "trial");
    table.servers[5].counters->trialInProgress = true;
    CHECK(candidatesForService(table, service, {"tried"}).size() == 1);
}

TEST_CASE_METHOD(RoutingFixture, "affinityRegion_serversOfAllRegions_agreeOnOneHolder")
{
    add("a1", 0, 8);
    add("a2", 0, 8);
    finish();
    RoutingTable here;
    here.remote = {{"b1", "b", "p"}, {"c1", "c", "p"}, {"x", "b", "other"}};
    RoutingFixture other;
    other.add("b1", 0, 8);
    other.finish();
    RoutingTable there;
    there.remote = {{"a1", "a", "p"}, {"a2", "a", "p"}, {"c1", "c", "p"}};
    std::map<std::string, int> counts;
    for (std::uint64_t prefix = 1; prefix < 400; ++prefix) {
        const std::string region
            = affinityRegion(here, candidates, "a", "p", {"a", "b", "c"}, prefix);
        CHECK(region == affinityRegion(there, other.candidates, "b", "p", {"a", "b", "c"}, prefix));
        CHECK(affinityRegion(here, candidates, "a", "p", {"a", "b"}, prefix) != "c");
        ++counts[region];
    }
    CHECK(counts["a"] > 150);
    CHECK(counts["b"] > 60);
    CHECK(counts["c"] > 60);
}

// What callers see: refusals from a region whose servers have all just come back. In what order:
// the region tells the others of its slots, they send it their prompts, it may pass on a few a
// second. Why: slots of cold servers were told as if they were warm.
TEST_CASE_METHOD(RoutingFixture, "dropCold_serversJustBack_leavesTheWarmOnes")
{
    using namespace std::chrono_literals;
    add("cold", 0, 8);
    add("warm", 0, 8);
    views[0].coldUntil = TimePoint(10s);
    finish();
    auto at10 = candidates;
    removeCold(at10, TimePoint(10s));
    CHECK(at10.size() == 2);
    removeCold(candidates, TimePoint(9s));
    REQUIRE(candidates.size() == 1);
    CHECK(candidates[0].view->server.name == "warm");
}

// Guards against shared parts read anew all over a large region: at a peak the two holders of a
// prefix are full, and what they have no room for was spread over all servers.
TEST_CASE_METHOD(RoutingFixture, "affinityPicker_bothHomesFull_spillStaysAtAFewServers")
{
    constexpr std::size_t servers = 100;
    for (std::size_t i = 0; i < servers; ++i)
        add("e" + std::to_string(i), 4, 12);
    finish();
    const PickInput input = prefixInput(0.16);
    AffinityPicker picker;
    Random random(1);
    std::set<std::size_t> used;
    // Each picked one fills up, as by a burst of one prefix.
    for (int request = 0; request < 48; ++request) {
        const std::size_t picked = picker.pick(input, random);
        used.insert(picked);
        candidates[picked].load += 1;
    }
    CHECK(used.size() <= 6);
    // Once all of them are full, the others take what comes.
    for (int request = 0; request < 50; ++request)
        used.insert(picker.pick(input, random));
    CHECK(used.size() > 6);
}
