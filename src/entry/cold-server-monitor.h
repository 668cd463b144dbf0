// Checks which backend servers are cold while neither the store nor a peer reports it.
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

// A health check of a server that is possibly cold.
struct ColdCheck
{
    ServerView view;
    std::uint32_t sentWhenStarted = 0; // value of possiblyColdSent when the check was sent
};

// Not thread safe; used on the control loop only.
class ColdServerMonitor
{
public:
    ColdServerMonitor(EntryState &state, const Protocol &protocol)
        : m_state(state), m_protocol(protocol)
    {
    }

    // Returns the possibly cold servers to check now: those for which `isResponsible` returns true,
    // and those to which this instance has sent, or may send, requests since its last check found
    // them warm. Called several times a second.
    std::vector<ColdCheck>
    dueForHealthCheck(const std::function<bool(const ServerView &)> &isResponsible);
    // Evaluates the response to a check. Returns the update for the region's other instances, if
    // there is one.
    std::optional<ColdUpdate> onHealthCheckEnded(const ColdCheck &check,
                                                 const BufferedResponse &reply);
    // Applies an update, from another instance of the region or from a check. Returns true if it
    // changed anything.
    bool onUpdate(const ColdUpdate &update);

private:
    EntryState &m_state;
    const Protocol &m_protocol;
    std::map<std::string, TimePoint> m_nextCheck; // of possibly cold servers, by name
};

} // namespace ibisnotch
