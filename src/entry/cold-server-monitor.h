// Finds out which backend servers are cold while neither the store nor a peer tells.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ibisnotch/http-client.h"
#include "protocol.h"
#include "state.h"

namespace ibisnotch {

// One look at a server.
struct ColdCheck
{
    ServerView view;
    std::uint32_t sentWhenStarted = 0; // possiblyColdSent when it was sent
};

// On the control loop only.
class ColdServerMonitor
{
public:
    ColdServerMonitor(EntryState &state, const Protocol &protocol)
        : m_state(state), m_protocol(protocol)
    {
    }

    // Several times a second. Servers to look at now: those for which `isResponsible` holds, and
    // those that this instance has sent to, or may want to, since it last found them warm.
    std::vector<ColdCheck>
    dueForHealthCheck(const std::function<bool(const ServerView &)> &isResponsible);
    // The answer to that. What the region's other instances have to hear, if anything.
    std::optional<ColdUpdate> onHealthCheckEnded(const ColdCheck &check, const WholeAnswer &answer);
    // From another instance of the region. True if it was news.
    bool onUpdate(const ColdUpdate &news);

private:
    EntryState &m_state;
    const Protocol &m_protocol;
    std::map<std::string, TimePoint> m_nextCheck; // of servers that may be cold
};

} // namespace ibisnotch
