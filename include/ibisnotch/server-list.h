// One instance's copy of the platform's list of live backend servers.
#pragma once

#include <map>
#include <string>

#include "ibisnotch/clock.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// A removed entry may mean that the server has stopped, or only that its lease expired while the
// store was unreachable. In the second case the server writes the entry again within about two
// seconds after the store is reachable again. If such servers were dropped at once, none would be
// left in that time. A server that wasn't leaving is therefore kept for missingGrace after its
// entry was removed, marked as missing because the list can't show that it became cold. Not thread
// safe.
class ServerList
{
public:
    // Time in which a live server has to write its entry once the store is reachable again, plus a
    // margin for the network delay of the update. Must be shorter than the time in which leaving
    // servers still accept requests.
    static constexpr Duration missingGrace = std::chrono::milliseconds(2300);

    // Adds or replaces an entry.
    void put(ListedServer server);
    // Drops a leaving server and marks any other as missing.
    void remove(const std::string &name, TimePoint now);

    // Drops servers that have been missing for missingGrace. Returns whether any was dropped.
    bool expire(TimePoint now);

    const std::map<std::string, ListedServer> &servers() const { return m_servers; }

private:
    std::map<std::string, ListedServer> m_servers;
};

} // namespace ibisnotch
