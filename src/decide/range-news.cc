#include "ibisnotch/range-news.h"

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

// Half of the largest datagram between instances; a server's entry takes about 250 bytes.
constexpr std::size_t largestNews = 8192;

} // namespace

std::uint32_t rangeId(std::string_view prefix)
{
    return static_cast<std::uint32_t>(hash64(prefix));
}

RangeNews makeNews(const std::string &prefix, std::uint64_t base, std::uint64_t asOf,
                   std::vector<StoreItem> changes)
{
    std::size_t size = 0;
    for (const StoreItem &item : changes)
        size += item.key.size() + item.value.size();
    if (size > largestNews)
        return {prefix, asOf, asOf, {}};
    return {prefix, base, asOf, std::move(changes)};
}

} // namespace ibisnotch
