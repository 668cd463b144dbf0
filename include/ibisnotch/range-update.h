// What instances tell each other of a range of the store.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ibisnotch/store.h"

namespace ibisnotch {

struct RangeUpdate
{
    std::string prefix;
    // All changes with revisions above `base`, up to `asOf`. 0: all keys that exist.
    std::uint64_t base = 0;
    std::uint64_t asOf = 0;
    std::vector<StoreItem> items;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(prefix, base, asOf, items);
    }
    bool operator==(const RangeUpdate &) const = default;
};

// How far an instance knows a range. Goes with probes, so it names the range by a hash.
struct RangePosition
{
    std::uint32_t range = 0; // rangeId of its prefix
    std::uint64_t lastChange = 0; // revision of the last change that is known
    std::uint32_t ageMs = 0; // when sent, since the store or a peer confirmed it

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(range, lastChange, ageMs);
    }
    bool operator==(const RangePosition &) const = default;
};

// Asks for the changes of a range.
struct RangeRequest
{
    std::uint32_t range = 0;
    std::uint64_t known = 0; // the revision up to which the asker knows all

    template <typename Archive> void serialize(Archive &archive) { archive(range, known); }
    bool operator==(const RangeRequest &) const = default;
};

// What an instance that asks for a range is told.
struct RangeReply
{
    RangeUpdate update;
    std::uint32_t ageMs = 0; // as in RangePosition

    template <typename Archive> void serialize(Archive &archive) { archive(update, ageMs); }
    bool operator==(const RangeReply &) const = default;
};

std::uint32_t rangeId(std::string_view prefix);

// News that fits into a datagram. Changes that do not are left out and `base` raised, so that
// whoever hears of it asks the store.
RangeUpdate makeRangeUpdate(const std::string &prefix, std::uint64_t base, std::uint64_t asOf,
                            std::vector<StoreItem> changes);

// All changes since `base`, oldest first, each as the store made it, in a few pieces of update,
// each of which goes on where the one before ends. So a burst of changes, as when a data centre's
// servers come back, does not send every instance to the store.
std::vector<RangeUpdate> updatesFromWatch(const std::string &prefix, std::uint64_t base,
                                          std::uint64_t asOf,
                                          const std::vector<StoreItem> &changes);

} // namespace ibisnotch
