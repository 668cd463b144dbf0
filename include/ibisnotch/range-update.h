// Messages in which instances exchange the content of a range of store keys.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ibisnotch/store.h"

namespace ibisnotch {

// The changes of a range between two revisions, or all its keys.
struct RangeUpdate
{
    std::string prefix;
    // The update contains all changes after revision `base`, up to `asOf`. 0 if it contains all
    // existing keys instead.
    std::uint64_t base = 0;
    std::uint64_t asOf = 0;
    std::vector<StoreItem> items;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(prefix, base, asOf, items);
    }
    bool operator==(const RangeUpdate &) const = default;
};

// The last change of a range that an instance has applied. Sent along with probes, so the range is
// identified by a hash to keep the message short.
struct RangePosition
{
    std::uint32_t range = 0; // rangeId of its prefix
    std::uint64_t lastChange = 0; // revision of the last known change
    std::uint32_t ageMs = 0; // time since the store or a peer confirmed it, when sent

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(range, lastChange, ageMs);
    }
    bool operator==(const RangePosition &) const = default;
};

// A request to a peer for the changes of a range.
struct RangeRequest
{
    std::uint32_t range = 0; // rangeId of its prefix
    std::uint64_t known = 0; // revision up to which the sender knows all changes

    template <typename Archive> void serialize(Archive &archive) { archive(range, known); }
    bool operator==(const RangeRequest &) const = default;
};

// The response to a RangeRequest.
struct RangeReply
{
    RangeUpdate update;
    std::uint32_t ageMs = 0; // as in RangePosition

    template <typename Archive> void serialize(Archive &archive) { archive(update, ageMs); }
    bool operator==(const RangeReply &) const = default;
};

std::uint32_t rangeId(std::string_view prefix);

// Returns an update that fits into a datagram. If the changes do not fit, it contains none and
// `base` equals `asOf`, so that receivers detect a gap and read the store.
RangeUpdate makeRangeUpdate(const std::string &prefix, std::uint64_t base, std::uint64_t asOf,
                            std::vector<StoreItem> changes);

// Returns the changes of a watch response, oldest first, as a few consecutive updates that each fit
// into a datagram. So a burst of changes, as when the backend servers of a data centre return, does
// not make every instance read the store.
std::vector<RangeUpdate> updatesFromWatch(const std::string &prefix, std::uint64_t base,
                                          std::uint64_t asOf,
                                          const std::vector<StoreItem> &changes);

} // namespace ibisnotch
