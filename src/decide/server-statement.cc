#include "ibisnotch/server-statement.h"

#include <algorithm>

namespace ibisnotch {

ServerStatements::Kept &ServerStatements::keep(const Speaker &speaker, TimePoint now)
{
    const auto [entry, added] = m_kept.try_emplace({speaker.server, speaker.address});
    entry->second.heardAt = now;
    if (added && m_kept.size() > maxKept) {
        const auto oldest
            = std::min_element(m_kept.begin(), m_kept.end(), [](const auto &a, const auto &b) {
                  return a.second.heardAt < b.second.heardAt;
              });
        if (oldest != entry)
            m_kept.erase(oldest);
    }
    return entry->second;
}

void ServerStatements::onLeaving(const Speaker &speaker, TimePoint now)
{
    Kept &kept = keep(speaker, now);
    kept.leaving = true;
    kept.leavingStartedBy = std::max(kept.leavingStartedBy, speaker.startedBy);
}

void ServerStatements::onRest(const Speaker &speaker, TimePoint until, TimePoint now)
{
    Kept &kept = keep(speaker, now);
    kept.restsUntil = std::max(kept.restsUntil, until);
    kept.restStartedBy = std::max(kept.restStartedBy, speaker.startedBy);
}

TimePoint ServerStatements::restsUntil(const std::string &server, const std::string &address,
                                       std::uint64_t incarnation)
{
    const auto found = m_kept.find({server, address});
    if (found == m_kept.end())
        return {};
    Kept &kept = found->second;
    if (incarnation > kept.restStartedBy)
        kept.restsUntil = {};
    return kept.restsUntil;
}

bool ServerStatements::isLeaving(const std::string &server, const std::string &address,
                                 std::uint64_t incarnation)
{
    const auto found = m_kept.find({server, address});
    if (found == m_kept.end())
        return false;
    Kept &kept = found->second;
    if (incarnation > kept.leavingStartedBy)
        kept.leaving = false;
    return kept.leaving;
}

} // namespace ibisnotch
