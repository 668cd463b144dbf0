// XXH3 hashes, for distribution and comparison. Not cryptographic.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ibisnotch {

std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

// Returns a 128-bit hash of the parts as 32 hexadecimal digits. The lengths of the parts are
// included, so that ("ab", "c") and ("a", "bc") differ.
std::string hash128Hex(std::string_view first, std::string_view second,
                       std::string_view third = {});

// Returns the weight of a node for a key in rendezvous hashing; the node with the highest weight is
// chosen.
std::uint64_t rendezvousWeight(std::string_view node, std::uint64_t key);

} // namespace ibisnotch
