#include "cold-server-monitor.h"

#include "ibisnotch/log.h"
#include "ibisnotch/warmup.h"

namespace ibisnotch {

namespace {

// A check without a response is repeated after this time. A server that has responded is checked
// again with the next tick, because in a burst a warm server receives within a quarter of a second
// what a cold one sustains in a whole one.
constexpr Duration checkTimeout = std::chrono::milliseconds(500);

} // namespace

std::vector<ColdCheck>
ColdServerMonitor::dueForHealthCheck(const std::function<bool(const ServerView &)> &isResponsible)
{
    std::vector<ColdCheck> due;
    const TimePoint now = m_state.clock.now();
    const auto table = m_state.routing.read();
    if (!table || !table->config)
        return due;
    std::map<std::string, TimePoint> nextCheck;
    for (const ServerView &view : table->servers) {
        const bool inUse
            = view.status == ServerStatus::usable || view.status == ServerStatus::trial;
        const auto since = possiblyColdSince(table->list, view, now);
        if (!since || !inUse || now < view.coldUntil)
            continue;
        const auto share = possiblyColdShare(*table, m_state.settings.warmup, m_state.settings.name,
                                             view.server);
        const bool needsCheck = share && *share > 0 && needsHealthCheck(*view.counters, *since);
        TimePoint &next = nextCheck[view.server.name];
        next = m_nextCheck[view.server.name];
        if (now < next || !(needsCheck || isResponsible(view)))
            continue;
        next = now + checkTimeout;
        due.push_back({view, view.counters->possiblyColdSent});
    }
    m_nextCheck = std::move(nextCheck);
    return due;
}

std::optional<ColdUpdate> ColdServerMonitor::onHealthCheckEnded(const ColdCheck &check,
                                                                const BufferedResponse &reply)
{
    constexpr int statusOk = 200;
    const ServerView &view = check.view;
    const TimePoint now = m_state.clock.now();
    if (const auto nextCheck = m_nextCheck.find(view.server.name); nextCheck != m_nextCheck.end())
        nextCheck->second = now;
    Target target;
    target.name = view.server.name;
    target.incarnation = view.incarnation;
    const auto left = m_protocol.remainingColdTime(reply);
    if (!m_protocol.isSameIncarnation(target, reply))
        return std::nullopt;
    // A server that rejects the check doesn't report whether it is warm.
    if (!left && reply.response.status == statusOk)
        recordWarm(*view.counters, check.sentWhenStarted, now);
    if (!left)
        return std::nullopt;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(*left).count();
    const ColdUpdate update{serverId(view.server.name), static_cast<std::uint32_t>(ms)};
    if (!onUpdate(update))
        return std::nullopt;
    logLine(LogPart::load, LogLevel::info, "Backend server cold.",
            {{"server", view.server.name},
             {"source", "health check"},
             {"leftMs", std::to_string(update.remainingMs)}});
    return update;
}

bool ColdServerMonitor::onUpdate(const ColdUpdate &update)
{
    const Duration left = std::chrono::milliseconds(update.remainingMs);
    return m_state.servers.onCold(update.server, left, m_state.clock.now());
}

} // namespace ibisnotch
