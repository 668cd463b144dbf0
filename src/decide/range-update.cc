#include "ibisnotch/range-update.h"

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

// Half of the largest datagram between instances; the entry of a backend server takes about 250
// bytes.
constexpr std::size_t maxUpdateBytes = 8192;
// Sending more updates to all members of a large region over a slow link takes longer than a read
// of the store by each of them.
constexpr std::size_t maxPieces = 3;
// Size above which the next revision starts a new update. Leaves room for further changes of the
// last revision.
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
        // All changes of one revision go into the same update.
        const bool isNewRevision
            = !piece.items.empty() && piece.items.back().revision < item.revision;
        if (isNewRevision && size > pieceSplitBytes) {
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
