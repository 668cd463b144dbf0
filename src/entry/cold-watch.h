// Finds out which backend servers are cold while neither the store nor a peer tells.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ibisnotch/http-client.h"
#include "protocol.h"
#include "state.h"

namespace ibisnotch {

// On the control loop only.
class ColdWatch
{
public:
    ColdWatch(EntryState &state, const Protocol &protocol)
        : m_state(state), m_protocol(protocol) { }

    // Several times a second. Servers to ask now; the caller says which are its to ask.
    std::vector<ServerView> dueForCheck();
    // The answer to that. What the region's other instances have to hear, if anything.
    std::optional<ColdNews> onChecked(const ServerView &view, const WholeAnswer &answer);
    // From another instance of the region. True if it was news.
    bool onNews(const ColdNews &news);

private:
    EntryState &m_state;
    const Protocol &m_protocol;
    std::map<std::string, TimePoint> m_nextCheck; // while the list is old
};

} // namespace ibisnotch
