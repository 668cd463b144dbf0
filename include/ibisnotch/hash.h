// XXH3 hashes. They spread and compare; they keep no secrets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ibisnotch {

std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

// 32 hex digits over parts. Each part's length is part of the hash, so that ("ab","c") and
// ("a","bc") differ.
std::string hash128Hex(std::string_view first, std::string_view second,
                       std::string_view third = {});

// The weight of a node for a key in rendezvous hashing: the highest wins.
std::uint64_t rendezvousWeight(std::string_view node, std::uint64_t key);

} // namespace ibisnotch
