#include "ibisnotch/hash.h"

#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;

TEST_CASE("hash128Hex_ofParts_dependsOnTheirBoundaries")
{
    CHECK(hash128Hex("ab", "c") != hash128Hex("a", "bc"));
    CHECK(hash128Hex("a", "b").size() == 32);
    rc::prop("equal parts, equal hashes", [](const std::string &a, const std::string &b) {
        RC_ASSERT(hash128Hex(a, b) == hash128Hex(a, b));
        RC_ASSERT((hash128Hex(a, b) == hash128Hex(b, a)) == (a == b));
    });
}

// Guards against instances of two versions that take the same request for two: they tell each other
// fingerprints of requests.
TEST_CASE("hash128Hex_ofParts_hasTheValuesOfEarlierVersions")
{
    CHECK(hash128Hex("", "", "") == "43a7cdf6ba76c2dba4ac1b8610ed2e79");
    CHECK(hash128Hex("a", "bc", "") == "1b967afb9849433c1d9785efa9cb5cd8");
    CHECK(hash128Hex("ab", "c", "def") == "d3ad847608b25fd16d24553e0e4f74b9");
    CHECK(hash128Hex("customer", "service", std::string(1000, 'x'))
          == "17895e68e7a612c913cf6891bf991e2f");
    CHECK(hash128Hex("h/path", "a=b", std::string(1U << 20, 'y'))
          == "5204e48e668758824c9891996c5d2bbe");
}

// Guards against moving keys of other nodes when one node is removed.
TEST_CASE("rendezvousWeight_nodeRemoved_movesOnlyItsKeys")
{
    const auto winner = [](std::uint64_t key, int nodes) {
        int best = 0;
        for (int node = 1; node < nodes; ++node) {
            if (rendezvousWeight(std::to_string(node), key)
                > rendezvousWeight(std::to_string(best), key))
                best = node;
        }
        return best;
    };
    std::map<int, int> count;
    for (std::uint64_t key = 0; key < 5000; ++key) {
        const int before = winner(key, 5);
        ++count[before];
        if (before != 4)
            CHECK(winner(key, 4) == before);
    }
    for (const auto &[node, keys] : count)
        CHECK(keys > 800);
}
