// The platform's list of live backend servers, as one instance holds it.
#pragma once

#include <map>
#include <string>

#include "ibisnotch/clock.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// An entry that vanishes may mean that its server is gone, or only that its lease ran out while the
// store was away; the server then writes it again within about two seconds of the store's return.
// Dropping such servers at once would leave no server at all for those seconds, so a server that
// was not leaving is kept that long after its entry vanished, marked as missing: no entry would
// tell that it turned cold. Not thread safe.
class ServerList
{
public:
    // How long the platform gives a live server to be back after the store's return, and a little
    // for the way of the news. Must stay under the time in which leaving servers may still get
    // work.
    static constexpr Duration missingGrace = std::chrono::milliseconds(2300);

    void put(ListedServer server);
    void remove(const std::string &name, TimePoint now);

    // Drops what has been missing too long. True if anything was dropped.
    bool expire(TimePoint now);

    const std::map<std::string, ListedServer> &servers() const { return m_servers; }

private:
    std::map<std::string, ListedServer> m_servers;
};

} // namespace ibisnotch
