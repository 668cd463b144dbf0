#include "ibisnotch/pick.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "ibisnotch/server-trial.h"
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
        routing.makeCandidates();
        Random random(seed);
        PickInput input;
        input.candidates = routing.candidates;
        input.prefixHash = *rc::gen::inRange<std::uint64_t>(0, 3);
        RandomPicker randomPicker;
        RoundRobinPicker roundRobinPicker;
        LeastReportedPicker leastReportedPicker;
        TwoChoicesPicker twoChoicesPicker;
        AffinityPicker affinityPicker;
        for (Picker *picker :
             std::initializer_list<Picker *>{&randomPicker, &roundRobinPicker, &leastReportedPicker,
                                             &twoChoicesPicker, &affinityPicker})
            RC_ASSERT(picker->pick(input, random) < routing.candidates.size());
    });
}

TEST_CASE("affinityPicker_samePrefix_usesTheSameServersWhileTheyHaveRoom")
{
    RoutingFixture routing;
    for (int i = 0; i < 8; ++i)
        routing.add("s" + std::to_string(i), 1, 8);
    routing.makeCandidates();
    Random random(1);
    PickInput input;
    input.candidates = routing.candidates;
    input.prefixHash = 42;
    AffinityPicker picker;
    const std::size_t first = picker.pick(input, random);
    for (int i = 0; i < 50; ++i)
        CHECK(picker.pick(input, random) == first);
    // The first server is full, so the second gets all requests.
    routing.candidates[first].load = 8;
    input.candidates = routing.candidates;
    const std::size_t second = picker.pick(input, random);
    CHECK(second != first);
    for (int i = 0; i < 50; ++i)
        CHECK(picker.pick(input, random) == second);
}

// Guards against late first tokens at a peak, when prompts with the same prefix alternate between
// two servers and each reads the prefix again while its own streams wait. With 30 streams per
// server, the holder is left only once its delay exceeds the time that all of them together would
// wait.
TEST_CASE("affinityPicker_holderDelayedByLessThanReadingCosts_staysWithTheHolder")
{
    RoutingFixture routing;
    for (int i = 0; i < 4; ++i)
        routing.add("s" + std::to_string(i), 30, 128);
    routing.makeCandidates();
    Random random(1);
    PickInput input;
    input.candidates = routing.candidates;
    input.prefixHash = 42;
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

TEST_CASE("prefixHash_twoCustomers_differsForTheSamePrompt")
{
    CHECK(prefixHash("a", "s", "prompt") != prefixHash("b", "s", "prompt"));
    CHECK(prefixHash("a", "s", std::string(600, 'x') + "1")
          == prefixHash("a", "s", std::string(600, 'x') + "2"));
}

TEST_CASE("twoChoicesPicker_freeServers_picksTheCheaper")
{
    RoutingFixture routing;
    routing.add("expensive", 0, 8, 4);
    routing.add("cheap", 2, 8, 1);
    routing.makeCandidates();
    Random random(1);
    PickInput input;
    input.candidates = routing.candidates;
    TwoChoicesPicker picker;
    for (int i = 0; i < 20; ++i)
        CHECK(picker.pick(input, random) == 1);
}

TEST_CASE("candidatesForService_leavingEjectedAndTried_areLeftOut")
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

// Guards against a server that is never tried again because a trial ended without an outcome.
TEST_CASE("serverTrial_endsWithoutOutcome_letsTheNextOneBegin")
{
    const auto counters = std::make_shared<ServerCounters>();
    {
        const ServerTrial first(counters);
        CHECK(first.hasBegun());
        CHECK_FALSE(ServerTrial(counters).hasBegun());
        CHECK(counters->trialInProgress);
    }
    CHECK(ServerTrial(counters).hasBegun());
}

TEST_CASE_METHOD(RoutingFixture, "affinityRegion_allRegions_agreeOnOneHolder")
{
    add("a1", 0, 8);
    add("a2", 0, 8);
    makeCandidates();
    RoutingTable tableOfA;
    tableOfA.remote = {{"b1", "b", "p", "v1"}, {"c1", "c", "p", "v1"}, {"x", "b", "other", "v1"}};
    RoutingFixture other;
    other.add("b1", 0, 8);
    other.makeCandidates();
    RoutingTable tableOfB;
    tableOfB.remote = {{"a1", "a", "p", "v1"}, {"a2", "a", "p", "v1"}, {"c1", "c", "p", "v1"}};
    std::map<std::string, int> counts;
    for (std::uint64_t prefix = 1; prefix < 400; ++prefix) {
        const std::string region
            = affinityRegion(tableOfA, candidates, "a", "p", {"a", "b", "c"}, prefix);
        CHECK(region
              == affinityRegion(tableOfB, other.candidates, "b", "p", {"a", "b", "c"}, prefix));
        CHECK(affinityRegion(tableOfA, candidates, "a", "p", {"a", "b"}, prefix) != "c");
        ++counts[region];
    }
    CHECK(counts["a"] > 150);
    CHECK(counts["b"] > 60);
    CHECK(counts["c"] > 60);
}

// Guards against rejections by a region whose servers have all just restarted: if it reports the
// slots of cold servers, other regions forward more prompts than these can handle.
TEST_CASE_METHOD(RoutingFixture, "removeCold_restartedServers_keepsTheWarmOnes")
{
    using namespace std::chrono_literals;
    add("cold", 0, 8);
    add("warm", 0, 8);
    views[0].coldUntil = TimePoint(10s);
    makeCandidates();
    auto at10 = candidates;
    removeCold(at10, TimePoint(10s));
    CHECK(at10.size() == 2);
    removeCold(candidates, TimePoint(9s));
    REQUIRE(candidates.size() == 1);
    CHECK(candidates[0].view->server.name == "warm");
}

// Guards against rejections by a region whose servers accept few requests: their free slots can't
// be used.
TEST_CASE_METHOD(RoutingFixture, "removeLimited_serverThatNamedALimit_isLeftOut")
{
    add("limited", 0, 8);
    add("free", 0, 8);
    views[0].requestLimit = 1.5;
    makeCandidates();
    removeLimited(candidates);
    REQUIRE(candidates.size() == 1);
    CHECK(candidates[0].view->server.name == "free");
}

// Guards against a prefix that all servers of a large region read: at a peak its two holders are
// full, and the overflow must go to few other servers.
TEST_CASE_METHOD(RoutingFixture, "affinityPicker_bothHoldersFull_overflowGoesToFewServers")
{
    constexpr std::size_t servers = 100;
    for (std::size_t i = 0; i < servers; ++i)
        add("e" + std::to_string(i), 4, 12);
    makeCandidates();
    const PickInput input = prefixInput(0.16);
    AffinityPicker picker;
    Random random(1);
    std::set<std::size_t> used;
    // The load of picked servers rises, as in a burst of requests with one prefix.
    for (int request = 0; request < 48; ++request) {
        const std::size_t picked = picker.pick(input, random);
        used.insert(picked);
        candidates[picked].load += 1;
    }
    CHECK(used.size() <= 6);
    // Once these are full, other servers are used.
    for (int request = 0; request < 50; ++request)
        used.insert(picker.pick(input, random));
    CHECK(used.size() > 6);
}
