#include "silent-server-monitor.h"

#include <algorithm>

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

// If two ticks are further apart than this, the event loop was stalled and has not yet read what
// servers sent meanwhile. Silence is then ignored for a while.
constexpr Duration stallThreshold = std::chrono::milliseconds(400);
constexpr Duration ignoreAfterStall = std::chrono::milliseconds(500);
// If nothing arrives from any server for this long, the fault is on this instance's side.
constexpr Duration instanceCutOffAfter = std::chrono::milliseconds(300);
// A recovered server is in use again after half of this period on average. A shorter period would
// cost more calls, because the platform counts every health check.
constexpr Duration checkPeriod = std::chrono::milliseconds(500);

std::string timeSinceReceived(const ServerCounters &counters, TimePoint now)
{
    const Duration::rep at = counters.lastReceivedAt;
    return at == 0 ? "never" : millisecondsText(now.time_since_epoch() - Duration(at));
}

const ServerView *findView(const RoutingTable &table, const std::string &name)
{
    const auto found
        = std::find_if(table.servers.begin(), table.servers.end(),
                       [&](const ServerView &view) { return view.server.name == name; });
    return found == table.servers.end() ? nullptr : &*found;
}

bool inUse(const ServerView &view)
{
    return view.status == ServerStatus::usable || view.status == ServerStatus::trial;
}

} // namespace

SilentServerMonitor::SilentServerMonitor(EntryState &state, const Protocol &protocol)
    : m_state(state), m_protocol(protocol)
{
}

bool SilentServerMonitor::isAfterStall(TimePoint now)
{
    const bool stalled = m_lastTick != TimePoint{} && now - m_lastTick > stallThreshold;
    m_lastTick = now;
    if (stalled)
        m_ignoreUntil = now + ignoreAfterStall;
    return now < m_ignoreUntil;
}

std::vector<SilenceUpdate> SilentServerMonitor::tick()
{
    std::vector<SilenceUpdate> updates;
    const TimePoint now = m_state.clock.now();
    const auto table = m_state.routing.read();
    if (isAfterStall(now) || !table)
        return updates;
    removeEnded(*table, updates);
    const bool receivesAnything
        = std::any_of(table->servers.begin(), table->servers.end(), [&](const ServerView &view) {
              return receivedWithin(*view.counters, instanceCutOffAfter, now);
          });
    if (!receivesAnything)
        return updates;
    for (const ServerView &view : table->servers) {
        if (!inUse(view) || m_silent.count(view.server.name) > 0)
            continue;
        if (decideBelief(*view.counters, ServerBelief::responding, true, now)
            != ServerBelief::silent)
            continue;
        markSilent(view, "own");
        updates.push_back({serverId(view.server.name), true});
    }
    return updates;
}

void SilentServerMonitor::markSilent(const ServerView &view, std::string_view source)
{
    const TimePoint now = m_state.clock.now();
    m_silent[view.server.name] = {now, now + checkPeriod};
    m_state.servers.onSilence(serverId(view.server.name), now);
    m_state.metrics.onServerSilent();
    logLine(LogPart::load, LogLevel::warn, "Backend server silent.",
            {{"server", view.server.name},
             {"source", std::string(source)},
             {"inFlight", std::to_string(view.counters->inFlight)},
             {"streaming", std::to_string(view.counters->awaitedStreams)},
             {"heardMsAgo", timeSinceReceived(*view.counters, now)}});
}

void SilentServerMonitor::restore(const std::string &name, std::string_view source)
{
    const TimePoint now = m_state.clock.now();
    m_silent.erase(name);
    m_state.servers.onRecovered(serverId(name), now);
    logLine(LogPart::load, LogLevel::info, "Backend server responds again.",
            {{"server", name}, {"source", std::string(source)}});
}

// Restores a server that has not yet responded to a request of this instance.
void SilentServerMonitor::restoreWithoutResponse(const ServerView &view, std::string_view source)
{
    recordRecovered(*view.counters, m_state.clock.now());
    restore(view.server.name, source);
}

// Removes servers that are no longer in the table, and restores those that have sent data since.
void SilentServerMonitor::removeEnded(const RoutingTable &table,
                                      std::vector<SilenceUpdate> &updates)
{
    std::vector<std::string> responding;
    std::erase_if(m_silent, [&](const auto &entry) {
        const ServerView *view = findView(table, entry.first);
        if (view == nullptr)
            return true;
        if (Duration(view->counters->lastReceivedAt.load()) > entry.second.since.time_since_epoch())
            responding.push_back(entry.first);
        return false;
    });
    for (const std::string &name : responding) {
        restore(name, "own");
        updates.push_back({serverId(name), false});
    }
}

void SilentServerMonitor::onUpdate(const SilenceUpdate &update)
{
    const TimePoint now = m_state.clock.now();
    const auto table = m_state.routing.read();
    if (!table)
        return;
    for (const ServerView &view : table->servers) {
        if (serverId(view.server.name) != update.server)
            continue;
        const bool known = m_silent.count(view.server.name) > 0;
        if (!update.silent && known)
            return restoreWithoutResponse(view, "peer");
        // What this instance received itself takes precedence: the server may be unreachable from
        // the other instance only.
        if (update.silent && !known && !receivedWithin(*view.counters, instanceCutOffAfter, now))
            markSilent(view, "peer");
        return;
    }
}

std::vector<ServerView> SilentServerMonitor::dueForStatusCheck()
{
    const TimePoint now = m_state.clock.now();
    std::vector<ServerView> due;
    const auto table = m_state.routing.read();
    if (!table || now < m_ignoreUntil)
        return due;
    for (const ServerView &view : table->servers) {
        if (tryAcquireStatusCheck(*view.counters, now))
            due.push_back(view);
    }
    return due;
}

void SilentServerMonitor::onStatusCheckEnded(const ServerView &view, const BufferedResponse &reply)
{
    const bool responded = reply.result.outcome == TransferOutcome::complete;
    recordStatusCheck(*view.counters, responded, m_state.clock.now());
    if (responded)
        return;
    logLine(LogPart::load, LogLevel::info, "Backend server did not respond to a status check.",
            {{"server", view.server.name},
             {"streaming", std::to_string(view.counters->awaitedStreams)},
             {"heardMsAgo", timeSinceReceived(*view.counters, m_state.clock.now())}});
}

std::vector<ServerView> SilentServerMonitor::dueForHealthCheck()
{
    const TimePoint now = m_state.clock.now();
    std::vector<ServerView> due;
    const auto table = m_state.routing.read();
    if (!table)
        return due;
    for (auto &[name, silent] : m_silent) {
        const ServerView *view = findView(*table, name);
        if (view == nullptr || now < silent.nextCheck)
            continue;
        silent.nextCheck = now + checkPeriod;
        due.push_back(*view);
    }
    return due;
}

std::vector<SilenceUpdate> SilentServerMonitor::onHealthCheckEnded(const ServerView &view,
                                                                   const BufferedResponse &reply)
{
    constexpr int statusOk = 200;
    const std::string &name = view.server.name;
    Target target;
    target.name = name;
    target.incarnation = view.incarnation;
    const bool healthy
        = reply.response.status == statusOk && m_protocol.isSameIncarnation(target, reply);
    if (!healthy || m_silent.count(name) == 0)
        return {};
    restoreWithoutResponse(view, "health check");
    return {{serverId(name), false}};
}

} // namespace ibisnotch
