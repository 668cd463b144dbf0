// Takes silent backend servers out of use for the region, and back in once they are heard.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ibisnotch/http-client.h"
#include "ibisnotch/silence.h"
#include "protocol.h"
#include "state.h"

namespace ibisnotch {

// On the control loop only.
class SilentServerMonitor
{
public:
    SilentServerMonitor(EntryState &state, const Protocol &protocol);

    // Several times a second. Returns what the region's other instances have to hear.
    std::vector<SilenceUpdate> tick();
    // From another instance of the region.
    void onUpdate(const SilenceUpdate &news);

    // Silent servers to ask now whether they live, before what runs there is ended.
    std::vector<ServerView> dueForStatusCheck();
    // An answer of any kind shows that such a server lives.
    void onStatusCheckEnded(const ServerView &view, const WholeAnswer &answer);

    // Servers to ask whether they live again, now. The caller says which are its to ask.
    std::vector<ServerView> dueForHealthCheck();
    // The answer to a health check of such a server.
    std::vector<SilenceUpdate> onHealthCheckEnded(const ServerView &view,
                                                  const WholeAnswer &answer);

private:
    struct SilentServer
    {
        TimePoint since;
        TimePoint nextCheck;
    };

    bool isAfterStall(TimePoint now);
    void markSilent(const ServerView &view, std::string_view source);
    void restoreWithoutResponse(const ServerView &view, std::string_view source);
    void restore(const std::string &name, std::string_view source);
    void removeEnded(const RoutingTable &table, std::vector<SilenceUpdate> &news);

    EntryState &m_state;
    const Protocol &m_protocol;
    TimePoint m_lastTick{};
    TimePoint m_ignoreUntil{};
    std::map<std::string, SilentServer> m_silent;
};

} // namespace ibisnotch
