// Takes silent backend servers out of use in the region, and restores them once they respond.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "ibisnotch/http-client.h"
#include "ibisnotch/silence.h"
#include "protocol.h"
#include "state.h"

namespace ibisnotch {

// What changed when servers were judged.
struct SilenceChanges
{
    bool routingTable = false; // it is outdated
    std::vector<SilenceUpdate> updates; // for the region's other instances
};

// Not thread safe; used on the control loop only.
class SilentServerMonitor
{
public:
    SilentServerMonitor(EntryState &state, const Protocol &protocol);

    // Judges all servers. Called several times a second.
    SilenceChanges tick();
    // Applies an update from another instance of the region.
    void onUpdate(const SilenceUpdate &update);

    // Returns the silent servers that need a status check now, before the region is told and the
    // attempts running there are ended.
    std::vector<ServerView> dueForStatusCheck();
    // Records the result of a status check and judges the server. A response of any kind passes.
    SilenceChanges onStatusCheckEnded(const ServerView &view, const BufferedResponse &reply);

    // Returns the servers taken out of use that need a health check now. The caller checks only
    // those that it is responsible for.
    std::vector<ServerView> dueForHealthCheck();
    // Evaluates the response to a health check.
    SilenceChanges onHealthCheckEnded(const ServerView &view, const BufferedResponse &reply);

private:
    struct SilentServer
    {
        TimePoint since;
        TimePoint nextCheck; // when the next health check is due
    };

    bool isStalled(TimePoint now) const;
    bool isAfterStall(TimePoint now) const;
    bool canJudge(const RoutingTable &table, TimePoint now) const;
    void judge(const ServerView &view, bool mayJudge, SilenceChanges &changes);
    void setDoubted(const ServerView &view, bool doubted);
    void markSilent(const ServerView &view, std::string_view source);
    void restoreWithoutResponse(const ServerView &view, std::string_view source);
    void restore(const std::string &name, std::string_view source);
    void removeEnded(const RoutingTable &table, SilenceChanges &changes);

    EntryState &m_state;
    const Protocol &m_protocol;
    TimePoint m_lastTick{}; // TimePoint{} before the first tick
    TimePoint m_ignoreUntil{}; // silence is ignored until then, because the event loop was stalled
    std::map<std::string, SilentServer> m_silent; // by server name
    std::set<std::string> m_doubted; // server names, none of which is in m_silent
};

} // namespace ibisnotch
