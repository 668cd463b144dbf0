// Remembers which request ids were sent to servers lately.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string_view>
#include <unordered_set>

#include "ibisnotch/clock.h"

namespace ibisnotch {

// A response names its request by id only, so the responses to two runs of one id can't be told
// apart. A request comes again when peers forward it back and forth, or when two callers choose the
// same id. Bounded in time and number; ids are kept as hashes, and a rare collision only makes a
// request look sent before. Thread safe.
class SentIds
{
public:
    // An unused connection, on which a response may still come, is closed after less (118 s by
    // libcurl).
    static constexpr Duration minKeptTime = std::chrono::seconds(120);
    // With more ids than this within minKeptTime, the oldest are forgotten earlier.
    static constexpr std::size_t maxKept = 65536;

    // Adds an id. Returns whether it was added before.
    bool add(std::string_view id, TimePoint now);

private:
    std::mutex m_mutex;
    TimePoint m_recentSince{};
    std::unordered_set<std::uint64_t> m_recent;
    std::unordered_set<std::uint64_t> m_older;
};

} // namespace ibisnotch
