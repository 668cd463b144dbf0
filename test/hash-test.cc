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
