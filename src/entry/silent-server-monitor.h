// Takes silent backend servers out of use in the region, and restores them once they respond.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ibisnotch/http-client.h"
#include "ibisnotch/silence.h"
#include "protocol.h"
#include "state.h"

namespace ibisnotch {

// Not thread safe; used on the control loop only.
class SilentServerMonitor
{
public:
    SilentServerMonitor(EntryState &state, const Protocol &protocol);

    // Detects silent servers. Called several times a second. Returns the updates for the region's
    // other instances.
    std::vector<SilenceUpdate> tick();
    // Applies an update from another instance of the region.
    void onUpdate(const SilenceUpdate &update);

    // Returns the silent servers that need a status check now, before the attempts running there
    // are ended.
    std::vector<ServerView> dueForStatusCheck();
    // Records the result of a status check. A response of any kind shows that the server works.
    void onStatusCheckEnded(const ServerView &view, const BufferedResponse &reply);

    // Returns the servers taken out of use that need a health check now. The caller checks only
    // those that it is responsible for.
    std::vector<ServerView> dueForHealthCheck();
    // Evaluates the response to a health check. Returns the updates for the region's other
    // instances.
    std::vector<SilenceUpdate> onHealthCheckEnded(const ServerView &view,
                                                  const BufferedResponse &reply);

private:
    struct SilentServer
    {
        TimePoint since;
        TimePoint nextCheck; // when the next health check is due
    };

    bool isAfterStall(TimePoint now);
    void markSilent(const ServerView &view, std::string_view source);
    void restoreWithoutResponse(const ServerView &view, std::string_view source);
    void restore(const std::string &name, std::string_view source);
    void removeEnded(const RoutingTable &table, std::vector<SilenceUpdate> &updates);

    EntryState &m_state;
    const Protocol &m_protocol;
    TimePoint m_lastTick{}; // TimePoint{} before the first tick
    TimePoint m_ignoreUntil{}; // silence is ignored until then, because the event loop was stalled
    std::map<std::string, SilentServer> m_silent; // by server name
};

} // namespace ibisnotch
