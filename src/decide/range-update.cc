#include "ibisnotch/range-update.h"

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

// Half of the largest datagram watchInterval instances; a server's entry takes about 250 bytes.
constexpr std::size_t maxUpdateBytes = 8192;
// What all members of a large region are sent takes its time on a slow link; beyond this the store
// tells them sooner.
constexpr std::size_t maxPieces = 3;
// Leaves room for the other changes of the last revision.
constexpr std::size_t pieceSplitBytes = maxUpdateBytes / 2;

std::size_t sizeOf(const StoreItem &item)
{
    return item.key.size() + item.value.size();
}

} // namespace

std::uint32_t rangeId(std::string_view prefix)
{
    return static_cast<std::uint32_t>(hash64(prefix));
}

RangeUpdate makeRangeUpdate(const std::string &prefix, std::uint64_t base, std::uint64_t asOf,
                            std::vector<StoreItem> changes)
{
    std::size_t size = 0;
    for (const StoreItem &item : changes)
        size += sizeOf(item);
    if (size > maxUpdateBytes)
        return {prefix, asOf, asOf, {}};
    return {prefix, base, asOf, std::move(changes)};
}

std::vector<RangeUpdate> updatesFromWatch(const std::string &prefix, std::uint64_t base,
                                          std::uint64_t asOf, const std::vector<StoreItem> &changes)
{
    std::vector<RangeUpdate> pieces{{prefix, base, asOf, {}}};
    std::size_t size = 0;
    for (const StoreItem &item : changes) {
        RangeUpdate &piece = pieces.back();
        // Changes of one revision belong together.
        const bool begins = !piece.items.empty() && piece.items.back().revision < item.revision;
        if (begins && size > pieceSplitBytes) {
            const std::uint64_t last = piece.items.back().revision;
            piece.asOf = last;
            pieces.push_back({prefix, last, asOf, {}});
            size = 0;
        }
        size += sizeOf(item);
        pieces.back().items.push_back(item);
    }
    if (pieces.size() > maxPieces)
        return {{prefix, asOf, asOf, {}}};
    for (RangeUpdate &piece : pieces)
        piece = makeRangeUpdate(prefix, piece.base, piece.asOf, std::move(piece.items));
    return pieces;
}

} // namespace ibisnotch
