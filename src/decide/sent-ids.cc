#include "ibisnotch/sent-ids.h"

#include <utility>

#include "ibisnotch/hash.h"

namespace ibisnotch {

bool SentIds::add(std::string_view id, TimePoint now)
{
    const std::uint64_t hash = hash64(id);
    std::unordered_set<std::uint64_t> forgotten; // freed without the mutex
    const std::lock_guard lock(m_mutex);
    if (now - m_recentSince >= minKeptTime || m_recent.size() >= maxKept / 2) {
        forgotten = std::exchange(m_older, std::exchange(m_recent, {}));
        m_recentSince = now;
    }
    const bool wasOlder = m_older.count(hash) > 0;
    return !m_recent.insert(hash).second || wasOlder;
}

} // namespace ibisnotch
