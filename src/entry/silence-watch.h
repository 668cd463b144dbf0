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
class SilenceWatch
{
public:
    SilenceWatch(EntryState &state, const Protocol &protocol);

    // Several times a second. Returns what the region's other instances have to hear.
    std::vector<SilenceUpdate> tick();
    // From another instance of the region.
    void onNews(const SilenceUpdate &news);

    // Silent servers to ask now whether they live, before what runs there is ended.
    std::vector<ServerView> dueForQuestion();
    // An answer of any kind shows that such a server lives.
    void onQuestionOver(const ServerView &view, const WholeAnswer &answer);

    // Servers to ask whether they live again, now. The caller says which are its to ask.
    std::vector<ServerView> dueForCheck();
    // The answer to a health check of such a server.
    std::vector<SilenceUpdate> onChecked(const ServerView &view, const WholeAnswer &answer);

private:
    struct Silent
    {
        TimePoint since;
        TimePoint nextCheck;
    };

    bool stoodStill(TimePoint now);
    void take(const ServerView &view, std::string_view source);
    void trust(const ServerView &view, std::string_view source);
    void giveBack(const std::string &name, std::string_view source);
    void forgetOver(const RoutingTable &table, std::vector<SilenceUpdate> &news);

    EntryState &m_state;
    const Protocol &m_protocol;
    TimePoint m_lastTick{};
    TimePoint m_quietUntil{};
    std::map<std::string, Silent> m_silent;
};

} // namespace ibisnotch
