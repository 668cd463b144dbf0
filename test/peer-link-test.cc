#include "ibisnotch/peer-link.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;

namespace {

GossipMessage sample()
{
    GossipMessage message;
    message.probe.sender.name = "a1";
    message.probe.updates.resize(2);
    message.configVersion = 7;
    message.loads.push_back({1, 2, 3, 4, 5, 1});
    message.regionLoads.push_back({"a", "s", 8, 3, 0});
    message.crashMarks.push_back({"f", "s", "a1", 5, false});
    message.silenceUpdates.push_back({9, true});
    message.rangeUpdates.push_back({"servers/", 4, 6, {{"servers/a", "v", 5, false}}});
    message.rangePositions.push_back({rangeId("servers/"), 5, 40});
    message.coldUpdates.push_back({9, 3000});
    return message;
}

} // namespace

TEST_CASE("decodeGossip_ofEncoded_givesItBack")
{
    CHECK(*decodeGossip(encodeGossip(sample())) == sample());
}

TEST_CASE("decodeGossip_ofTheReleaseBefore_hasNoNews")
{
    GossipMessage before = sample();
    before.protocol = 1;
    before.silenceUpdates.clear();
    before.rangeUpdates.clear();
    before.rangePositions.clear();
    before.coldUpdates.clear();
    CHECK(*decodeGossip(encodeGossip(before)) == before);
}

// What callers see: nothing. In what order: a datagram arrives damaged, cut, or from an instance of
// a later version with more fields. Why: what cannot be read is dropped, what follows is ignored.
TEST_CASE("decodeGossip_damagedOrLonger_isDroppedOrReadInPart")
{
    const std::string bytes = encodeGossip(sample());
    const std::string later = bytes.substr(8) + "fields of a later version";
    CHECK(*decodeGossip(withChecksum(later)) == sample());
    CHECK_FALSE(decodeGossip(withChecksum(bytes.substr(8, 40))));
    rc::prop("no crash on damage", [&bytes] {
        std::string damaged = bytes;
        const int changes = *rc::gen::inRange(0, 8);
        for (int i = 0; i < changes; ++i)
            damaged[*rc::gen::inRange<std::size_t>(0, damaged.size())]
                = static_cast<char>(*rc::gen::inRange(0, 256));
        damaged.resize(*rc::gen::inRange<std::size_t>(0, damaged.size()));
        const auto result = decodeGossip(damaged);
        RC_ASSERT(!result || damaged == bytes);
    });
}
