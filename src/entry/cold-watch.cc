#include "cold-watch.h"

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

// A watch of the store ends after four seconds, also when nothing has changed. A list that nobody
// confirmed for longer may miss that a server turned cold; the servers themselves then tell.
constexpr Duration listIsOld = std::chrono::seconds(5);
// A cold server bears a few requests a second, which a warm one gets in half of one. The platform
// counts each check.
constexpr Duration checkPeriod = std::chrono::milliseconds(250);

} // namespace

std::vector<ServerView> ColdWatch::dueForCheck()
{
    std::vector<ServerView> due;
    const TimePoint now = m_state.clock.now();
    const auto table = m_state.routing.read();
    const bool old = table && table->config && table->list.heardAt != TimePoint{}
        && now - table->list.heardAt > listIsOld;
    if (!old) {
        m_nextCheck.clear();
        return due;
    }
    for (const ServerView &view : table->servers) {
        const bool inUse
            = view.status == ServerStatus::usable || view.status == ServerStatus::trial;
        TimePoint &next = m_nextCheck[view.server.name];
        if (!inUse || now < next || now < view.coldUntil)
            continue;
        next = now + checkPeriod;
        due.push_back(view);
    }
    return due;
}

std::optional<ColdNews> ColdWatch::onChecked(const ServerView &view, const WholeAnswer &answer)
{
    Target target;
    target.name = view.server.name;
    target.incarnation = view.incarnation;
    const auto left = m_protocol.coldFor(answer);
    if (!left || !m_protocol.showsSameRun(target, answer))
        return std::nullopt;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(*left).count();
    const ColdNews news{serverId(view.server.name), static_cast<std::uint32_t>(ms)};
    if (!onNews(news))
        return std::nullopt;
    logLine(LogPart::load, LogLevel::info, "Backend server cold.",
            {{"server", view.server.name},
             {"source", "health check"},
             {"leftMs", std::to_string(news.leftMs)}});
    return news;
}

bool ColdWatch::onNews(const ColdNews &news)
{
    const Duration left = std::chrono::milliseconds(news.leftMs);
    return m_state.servers.onCold(news.server, left, m_state.clock.now());
}

} // namespace ibisnotch
