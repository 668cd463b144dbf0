#include "ibisnotch/entry-list.h"

#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;

namespace {

std::vector<Member> fleet()
{
    std::vector<Member> members;
    for (const char *name : {"a1", "a2", "a3", "b1", "b2", "c1"}) {
        Member member;
        member.name = name;
        member.region = std::string(1, name[0]);
        members.push_back(member);
    }
    return members;
}

} // namespace

TEST_CASE("makeEntryList_ofAnyFleet_listsAliveInstancesLocalFirst")
{
    rc::prop("alive, allowed, local first", [](std::uint64_t seed) {
        std::vector<Member> members = fleet();
        for (Member &member : members)
            member.state = static_cast<MemberState>(*rc::gen::inRange(0, 5));
        Random random(seed);
        const EntryList list = makeEntryList(members, "a", {"a", "b"}, random);
        bool isRemote = false;
        for (const Member &member : list.instances) {
            RC_ASSERT(member.state == MemberState::alive);
            RC_ASSERT(member.region != "c");
            RC_ASSERT(!(isRemote && member.region == "a"));
            isRemote = isRemote || member.region != "a";
        }
        RC_ASSERT(list.lifetime.count() > 0);
    });
}

// Guards against callers that request a list at the same time and all connect to the same instance.
TEST_CASE("makeEntryList_manyCallers_distributesThemByFreeCapacity")
{
    std::vector<Member> members = fleet();
    members[1].loadPercent = 80;
    Random random(1);
    std::map<std::string, int> first;
    for (int i = 0; i < 3000; ++i)
        ++first[makeEntryList(members, "a", {"a"}, random).instances.front().name];
    CHECK(first["a1"] > 900);
    CHECK(first["a3"] > 900);
    CHECK(first["a2"] < 600);
    CHECK(first["a2"] > 50);
}

// Guards against sending a caller's data to a region that may not have it while all instances of
// its own region are stopped for planned maintenance.
TEST_CASE("makeLocalEntryList_noInstanceInTheRegion_listsRegionWithMostServices")
{
    std::vector<Member> members = fleet();
    Random random(1);
    const LocalEntryListInput input{"a", {{"a", 9}, {"b", 8}, {"c", 7}}, std::chrono::seconds(2)};
    CHECK(makeLocalEntryList(members, input, random).instances.size() == 3);
    for (Member &member : members) {
        if (member.region == "a")
            member.state = MemberState::leaving;
    }
    const EntryList list = makeLocalEntryList(members, input, random);
    REQUIRE(list.instances.size() == 2);
    CHECK(list.instances[0].region == "b");
    CHECK(list.instances[1].region == "b");
    for (Member &member : members)
        member.state = MemberState::dead;
    CHECK(makeLocalEntryList(members, input, random).instances.empty());
}

// Guards against senders that all choose other peers when one instance is removed, and so have to
// open new connections, which takes 160 ms more between regions.
TEST_CASE("preferredPeers_oneInstanceRemoved_onlyItsPlaceChanges")
{
    std::vector<Member> members;
    for (int i = 0; i < 20; ++i) {
        members.emplace_back();
        members.back().name = "b" + std::to_string(i);
        members.back().region = "b";
    }
    std::map<std::string, int> uses;
    for (int sender = 0; sender < 60; ++sender) {
        const std::string self = "a" + std::to_string(sender);
        const std::vector<Member> before = preferredPeers(members, self, "b");
        REQUIRE(before.size() == 3);
        for (const Member &member : before)
            ++uses[member.name];
        std::vector<Member> remaining = members;
        std::erase_if(remaining,
                      [&](const Member &member) { return member.name == before[1].name; });
        const std::vector<Member> after = preferredPeers(remaining, self, "b");
        CHECK(after[0] == before[0]);
        CHECK(after[1] == before[2]);
    }
    CHECK(uses.size() == 20);
    CHECK(preferredPeers(members, "a1", "c").empty());
}
