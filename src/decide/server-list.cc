#include "ibisnotch/server-list.h"

namespace ibisnotch {

void ServerList::put(ListedServer server)
{
    m_missingSince.erase(server.server.name);
    m_servers.insert_or_assign(server.server.name, std::move(server));
}

void ServerList::remove(const std::string &name, TimePoint now)
{
    const auto found = m_servers.find(name);
    if (found == m_servers.end())
        return;
    if (found->second.leaving)
        m_servers.erase(found);
    else
        m_missingSince.try_emplace(name, now);
}

bool ServerList::expire(TimePoint now)
{
    const auto gone = std::erase_if(m_missingSince, [&](const auto &entry) {
        if (now - entry.second < lapseGrace)
            return false;
        m_servers.erase(entry.first);
        return true;
    });
    return gone > 0;
}

} // namespace ibisnotch
