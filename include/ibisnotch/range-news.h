// What the instances of a region that watch the store tell the others of it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ibisnotch/store.h"

namespace ibisnotch {

struct RangeNews
{
    std::string prefix;
    // All changes with revisions above `base`, up to `asOf`.
    std::uint64_t base = 0;
    std::uint64_t asOf = 0;
    std::vector<StoreItem> items;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(prefix, base, asOf, items);
    }
    bool operator==(const RangeNews &) const = default;
};

// Makes the news of one answer of the store. Changes that are too large for a datagram are left
// out and `base` raised, so that whoever hears of it asks the store.
RangeNews makeNews(const std::string &prefix, std::uint64_t base, std::uint64_t asOf,
                   std::vector<StoreItem> changes);

} // namespace ibisnotch
