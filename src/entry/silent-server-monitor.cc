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

std::string timeSince(Duration::rep at, TimePoint now)
{
    return at == 0 ? "never" : millisecondsText(now.time_since_epoch() - Duration(at));
}

// Logs a change of belief with what it was decided by.
void logBelief(LogLevel level, std::string_view sentence, const ServerView &view,
               std::string_view source, TimePoint now)
{
    const ServerCounters &counters = *view.counters;
    const Duration::rep passedAt = counters.statusCheckPassedAt;
    const Duration::rep failedAt = counters.statusCheckFailedAt;
    const char *check = passedAt >= failedAt ? "passed" : "failed";
    logLine(LogPart::load, level, sentence,
            {{"server", view.server.name},
             {"source", std::string(source)},
             {"inFlight", std::to_string(counters.inFlight)},
             {"awaited", std::to_string(counters.awaitedRequests)},
             {"streaming", std::to_string(counters.awaitedStreams)},
             {"heardMsAgo", timeSince(counters.lastReceivedAt, now)},
             {"respondedMsAgo", timeSince(counters.lastRespondedAt, now)},
             {"recoveredMsAgo", timeSince(counters.recoveredAt, now)},
             {"statusCheck", passedAt == 0 && failedAt == 0 ? "none" : check},
             {"checkedMsAgo", timeSince(std::max(passedAt, failedAt), now)}});
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

bool SilentServerMonitor::isStalled(TimePoint now) const
{
    return m_lastTick != TimePoint{} && now - m_lastTick > stallThreshold;
}

// Also true if the next tick has yet to notice the stall.
bool SilentServerMonitor::isAfterStall(TimePoint now) const
{
    return isStalled(now) || now < m_ignoreUntil;
}

// Returns false while the fault may be on this instance's side.
bool SilentServerMonitor::canJudge(const RoutingTable &table, TimePoint now) const
{
    return std::any_of(table.servers.begin(), table.servers.end(), [&](const ServerView &view) {
        return receivedWithin(*view.counters, instanceCutOffAfter, now);
    });
}

SilenceChanges SilentServerMonitor::tick()
{
    SilenceChanges changes;
    const TimePoint now = m_state.clock.now();
    const auto table = m_state.routing.read();
    if (isStalled(now))
        m_ignoreUntil = now + ignoreAfterStall;
    m_lastTick = now;
    if (isAfterStall(now) || !table)
        return changes;
    removeEnded(*table, changes);
    const bool mayJudge = canJudge(*table, now);
    for (const ServerView &view : table->servers)
        judge(view, mayJudge, changes);
    return changes;
}

void SilentServerMonitor::judge(const ServerView &view, bool mayJudge, SilenceChanges &changes)
{
    const std::string &name = view.server.name;
    const bool doubted = m_doubted.count(name) > 0;
    if (m_silent.count(name) > 0 || (!doubted && !inUse(view)))
        return;
    const ServerBelief before = doubted ? ServerBelief::doubted : ServerBelief::responding;
    const ServerBelief belief = decideBelief(*view.counters, before, mayJudge, m_state.clock.now());
    if (belief == before)
        return;
    changes.routingTable = true;
    if (belief != ServerBelief::silent)
        return setDoubted(view, belief == ServerBelief::doubted);
    markSilent(view, "own");
    changes.updates.push_back({serverId(name), true});
}

void SilentServerMonitor::setDoubted(const ServerView &view, bool doubted)
{
    const std::string &name = view.server.name;
    if (doubted)
        m_doubted.insert(name);
    else
        m_doubted.erase(name);
    m_state.servers.setDoubted(serverId(name), doubted);
    logBelief(LogLevel::info,
              doubted ? "Backend server doubted." : "Backend server no longer doubted.", view,
              "own", m_state.clock.now());
}

void SilentServerMonitor::markSilent(const ServerView &view, std::string_view source)
{
    const TimePoint now = m_state.clock.now();
    const std::string &name = view.server.name;
    if (m_doubted.erase(name) > 0)
        m_state.servers.setDoubted(serverId(name), false);
    m_silent[name] = {now, now + checkPeriod};
    m_state.servers.onSilence(serverId(name), now);
    m_state.metrics.onServerSilent();
    logBelief(LogLevel::warn, "Backend server silent.", view, source, now);
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
void SilentServerMonitor::removeEnded(const RoutingTable &table, SilenceChanges &changes)
{
    std::erase_if(m_doubted,
                  [&](const std::string &name) { return findView(table, name) == nullptr; });
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
        changes.routingTable = true;
        changes.updates.push_back({serverId(name), false});
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

SilenceChanges SilentServerMonitor::onStatusCheckEnded(const ServerView &view,
                                                       const BufferedResponse &reply)
{
    SilenceChanges changes;
    const TimePoint now = m_state.clock.now();
    const bool passed = reply.result.outcome == TransferOutcome::complete;
    // After a stall, the response may have arrived in time without having been read.
    if (!passed && isAfterStall(now))
        return changes;
    recordStatusCheck(*view.counters, passed, now);
    if (!passed) {
        logLine(LogPart::load, LogLevel::info, "Backend server did not respond to a status check.",
                {{"server", view.server.name},
                 {"streaming", std::to_string(view.counters->awaitedStreams)},
                 {"heardMsAgo", timeSince(view.counters->lastReceivedAt, now)}});
    }
    // Judged now rather than with the next tick, so that the region knows as soon as possible.
    const auto table = m_state.routing.read();
    const ServerView *current = table ? findView(*table, view.server.name) : nullptr;
    if (current != nullptr && !isAfterStall(now))
        judge(*current, canJudge(*table, now), changes);
    return changes;
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

SilenceChanges SilentServerMonitor::onHealthCheckEnded(const ServerView &view,
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
    return {true, {{serverId(name), false}}};
}

} // namespace ibisnotch
