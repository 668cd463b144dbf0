#include "ibisnotch/server-list.h"

namespace ibisnotch {

namespace {

void markMissing(ListedServer &listed, TimePoint now)
{
    if (listed.missingSince == TimePoint{})
        listed.missingSince = now;
}

} // namespace

void ServerList::put(ListedServer server)
{
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
        markMissing(found->second, now);
}

bool ServerList::expire(TimePoint now)
{
    const auto dropped = std::erase_if(m_servers, [now](const auto &entry) {
        const TimePoint since = entry.second.missingSince;
        return since != TimePoint{} && now - since >= missingGrace;
    });
    return dropped > 0;
}

} // namespace ibisnotch
