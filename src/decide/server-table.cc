#include "ibisnotch/server-table.h"

#include <algorithm>

#include "ibisnotch/hash.h"
#include "ibisnotch/store.h"

namespace ibisnotch {

namespace {

constexpr std::uint8_t leavingFlag = 1;
constexpr std::uint8_t unreachableFlag = 2;
constexpr std::uint32_t ageUnitMs = 10;

std::uint16_t saturated(std::uint32_t value)
{
    return static_cast<std::uint16_t>(std::min<std::uint32_t>(value, 0xffffU));
}

} // namespace

std::uint32_t serverId(std::string_view name)
{
    return static_cast<std::uint32_t>(hash64(name));
}

CompactLoad compactLoad(const LoadReport &report)
{
    CompactLoad load;
    load.server = serverId(report.server);
    load.incarnation = report.incarnation;
    load.running = saturated(report.running);
    load.waiting = saturated(report.waiting);
    load.age = saturated(report.ageMs / ageUnitMs);
    load.flags = report.leaving ? leavingFlag : 0;
    load.flags |= report.reachable ? 0 : unreachableFlag;
    return load;
}

void ServerTable::setConfig(std::shared_ptr<const FleetConfig> config)
{
    const std::lock_guard lock(m_mutex);
    m_config = std::move(config);
    rebuild({});
}

void ServerTable::setListed(std::map<std::string, ListedServer> listed, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_listed = std::move(listed);
    rebuild(now);
}

void ServerTable::setListState(const ListState &state)
{
    const std::lock_guard lock(m_mutex);
    m_listState = state;
}

void ServerTable::setRemote(std::vector<RemoteServer> remote)
{
    const std::lock_guard lock(m_mutex);
    m_remote = std::move(remote);
}

void ServerTable::setEvacuated(std::set<std::string> dataCentres)
{
    const std::lock_guard lock(m_mutex);
    m_evacuated = std::move(dataCentres);
}

void ServerTable::rebuild(TimePoint now)
{
    std::map<std::string, Record> records;
    const auto add = [&](const BackendServer &server) -> Record & {
        const auto known = m_records.find(server.name);
        Record record;
        const bool isSameServer
            = known != m_records.end() && known->second.server.address == server.address;
        if (isSameServer)
            record = known->second;
        else
            record.counters = std::make_shared<ServerCounters>();
        record.server = server;
        return records.insert_or_assign(server.name, std::move(record)).first->second;
    };
    if (m_config) {
        for (const auto &[name, server] : m_config->servers)
            add(server);
    }
    for (const auto &[name, listed] : m_listed) {
        Record &record = add(listed.server);
        record.missingSince = listed.missingSince;
        if (listed.revision <= record.revision)
            continue;
        const bool wasListed = record.revision > 0;
        // The store came back from a copy. Its entry may be older than what is known.
        const bool isFromCopy = wasListed && eraOf(listed.revision) > eraOf(record.revision)
            && listed.incarnation <= record.report.incarnation;
        // A newer entry replaces the status, also if it shows a leaving server as live again: the
        // server was restarted under the same name. What its process said of itself stays.
        record.revision = listed.revision;
        record.report.incarnation = std::max(record.report.incarnation, listed.incarnation);
        record.leaving = listed.leaving || (isFromCopy && record.leaving);
        if (listed.leaving && listed.incarnation > 0)
            m_statements.onLeaving({name, listed.server.address, listed.incarnation}, now);
        const auto cold = m_selfReportedCold.find(name);
        const Duration selfReportedRemaining
            = cold == m_selfReportedCold.end() ? Duration(0) : cold->second - now;
        const Duration knownRemaining = isFromCopy ? record.coldUntil - now : Duration(0);
        recordCold(record, std::max({listed.warmup, selfReportedRemaining, knownRemaining}),
                   wasListed, now);
    }
    m_records = std::move(records);
    m_names.clear();
    for (auto &[name, record] : m_records) {
        m_names[serverId(name)] = name;
        applyStatements(record);
    }
}

void ServerTable::recordCold(Record &record, Duration remaining, bool wasInUse, TimePoint now)
{
    const bool isNews = remaining.count() > 0 && now >= record.coldUntil;
    if (isNews)
        record.coldSince = now;
    if (isNews && wasInUse)
        record.cooldownUntil = now + m_limits.coldCooldown;
    record.coldUntil = remaining.count() > 0 ? now + remaining : TimePoint{};
}

void ServerTable::onResponseLoad(const std::string &server, std::uint32_t running,
                                 std::uint32_t waiting, TimePoint now)
{
    LoadReport report;
    report.server = server;
    report.running = running;
    report.waiting = waiting;
    onReport(report, now);
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_records.find(server); found != m_records.end())
        found->second.receivedDirectly = true;
}

CompactLoad ServerTable::compact(const Record &record, TimePoint now)
{
    LoadReport report = record.report;
    report.leaving = record.leaving || record.counters->saidLeaving;
    report.ageMs = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - record.reportedAt).count());
    return compactLoad(report);
}

std::vector<CompactLoad> ServerTable::collectNewReports(TimePoint now, std::size_t maxCount,
                                                        bool includeRelayed)
{
    const std::lock_guard lock(m_mutex);
    std::vector<Record *> fresh;
    for (auto &[name, record] : m_records) {
        const bool canShare = record.receivedDirectly || includeRelayed;
        if (canShare && record.reportedAt > record.lastSharedReportAt)
            fresh.push_back(&record);
    }
    // In a large region, messages filled in the order of names would always contain the first
    // servers and never the others.
    std::stable_sort(fresh.begin(), fresh.end(), [](const Record *a, const Record *b) {
        return a->lastSharedReportAt < b->lastSharedReportAt;
    });
    fresh.resize(std::min(fresh.size(), maxCount));
    std::vector<CompactLoad> result;
    for (Record *record : fresh) {
        record->lastSharedReportAt = record->reportedAt;
        result.push_back(compact(*record, now));
    }
    return result;
}

bool ServerTable::setSenders(std::vector<std::string> senders, bool complete)
{
    const std::lock_guard lock(m_mutex);
    if (m_senders == senders && m_sendersComplete == complete)
        return false;
    m_senders = std::move(senders);
    m_sendersComplete = complete;
    return true;
}

void ServerTable::startIncarnation(Record &record, const LoadReport &report)
{
    // The list may have shown this process as leaving before its first report gave the start time.
    record.leaving = report.incarnation <= record.leavingNoticeMs;
    record.failures = 0;
    record.ejections = 0;
    record.ejectedUntil = {};
    record.report.incarnation = report.incarnation;
    applyStatements(record);
}

void ServerTable::applyStatements(Record &record)
{
    const BackendServer &server = record.server;
    const std::uint64_t incarnation = record.report.incarnation;
    record.counters->saidLeaving = m_statements.isLeaving(server.name, server.address, incarnation);
    const TimePoint until = m_statements.restsUntil(server.name, server.address, incarnation);
    record.counters->restsUntil = until.time_since_epoch().count();
}

bool ServerTable::onReport(const CompactLoad &load, TimePoint now)
{
    LoadReport report;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_names.find(load.server);
        if (found == m_names.end())
            return false;
        report.server = found->second;
    }
    report.incarnation = load.incarnation;
    report.running = load.running;
    report.waiting = load.waiting;
    report.ageMs = load.age * ageUnitMs;
    report.leaving = (load.flags & leavingFlag) != 0;
    report.reachable = (load.flags & unreachableFlag) == 0;
    return onReport(report, now);
}

bool ServerTable::onReport(const LoadReport &report, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(report.server);
    if (found == m_records.end())
        return false;
    Record &record = found->second;
    const ServerStatus before = statusOf(record, now);
    const TimePoint at = now - std::chrono::milliseconds(report.ageMs);
    // A report of an earlier incarnation, or one that was relayed so long that a newer one is
    // known, must not make a leaving server usable again.
    if (report.incarnation != 0 && report.incarnation < record.report.incarnation)
        return false;
    if (report.incarnation > record.report.incarnation)
        startIncarnation(record, report);
    record.leaving = record.leaving || report.leaving;
    // Without the start time, the report may be of an earlier process.
    if (report.leaving && report.incarnation != 0) {
        m_statements.onLeaving({report.server, record.server.address, report.incarnation}, now);
        applyStatements(record);
    }
    if (record.everReported && at <= record.reportedAt)
        return statusOf(record, now) != before;
    const std::uint64_t incarnation = record.report.incarnation;
    record.report = report;
    record.report.incarnation = incarnation;
    record.reportedAt = at;
    record.everReported = true;
    record.receivedDirectly = false;
    if (report.reachable) {
        record.counters->lastRespondedAt = at.time_since_epoch().count();
        recordTraffic(report.running + report.waiting, record.counters->inFlight);
        record.counters->sentSinceReport = 0;
        record.counters->endedSinceReport = 0;
    }
    return statusOf(record, now) != before;
}

void ServerTable::onLeavingList(const std::vector<LeavingNotice> &notices)
{
    const std::lock_guard lock(m_mutex);
    for (const LeavingNotice &notice : notices) {
        const auto found = m_records.find(notice.server);
        if (found == m_records.end())
            continue;
        found->second.leavingNoticeMs = std::max(found->second.leavingNoticeMs, notice.sinceMs);
        // A server that started after the notice is a new process under the same name.
        if (found->second.report.incarnation <= notice.sinceMs)
            found->second.leaving = true;
    }
}

bool ServerTable::onSelfReportedLeaving(const Speaker &speaker, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_statements.onLeaving(speaker, now);
    const auto found = m_records.find(speaker.server);
    if (found == m_records.end() || found->second.server.address != speaker.address)
        return false;
    const bool before = found->second.counters->saidLeaving;
    applyStatements(found->second);
    return !before && found->second.counters->saidLeaving;
}

bool ServerTable::onRest(const Speaker &speaker, TimePoint until, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_statements.onRest(speaker, until, now);
    const auto found = m_records.find(speaker.server);
    if (found == m_records.end() || found->second.server.address != speaker.address)
        return false;
    const bool before = isResting(*found->second.counters, now);
    applyStatements(found->second);
    return !before && isResting(*found->second.counters, now);
}

void ServerTable::onAttempt(const std::string &server, AttemptHealth health, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(server);
    if (found == m_records.end())
        return;
    Record &record = found->second;
    if (health == AttemptHealth::good) {
        record.needsTrial = false;
        record.failures = 0;
        record.ejections = 0;
        record.ejectedUntil = {};
        return;
    }
    // No process listens at the address. Waiting for more failures would cost each of the next
    // requests an attempt, and each request of a burst all its retries.
    const bool notConnected = health == AttemptHealth::notConnected;
    record.failures += notConnected ? m_limits.failuresToEject : 1;
    const bool trialFailed = record.ejections > 0 && now >= record.ejectedUntil;
    if (record.failures < m_limits.failuresToEject && !trialFailed)
        return;
    eject(record, now);
}

void ServerTable::eject(Record &record, TimePoint now)
{
    const Duration time = m_limits.firstEjectionTime * (1 << std::min(record.ejections, 10));
    record.ejectedUntil = now + std::min(time, m_limits.maxEjectionTime);
    ++record.ejections;
    record.failures = 0;
}

ServerTable::Record *ServerTable::find(std::uint32_t server)
{
    const auto name = m_names.find(server);
    const auto found = name == m_names.end() ? m_records.end() : m_records.find(name->second);
    return found == m_records.end() ? nullptr : &found->second;
}

void ServerTable::setDoubted(std::uint32_t server, bool doubted)
{
    const std::lock_guard lock(m_mutex);
    if (Record *record = find(server))
        record->doubted = doubted;
}

void ServerTable::onSilence(std::uint32_t server, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    Record *record = find(server);
    if (record == nullptr || now < record->ejectedUntil)
        return;
    record->needsTrial = now - record->recoveredAt < m_limits.relapseWindow;
    eject(*record, now);
}

void ServerTable::onRecovered(std::uint32_t server, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    Record *record = find(server);
    if (record == nullptr || record->ejections == 0 || record->needsTrial)
        return;
    record->recoveredAt = now;
    record->failures = 0;
    record->ejections = 0;
    record->ejectedUntil = {};
}

bool ServerTable::onCold(std::uint32_t server, Duration remaining, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    Record *record = find(server);
    if (record == nullptr)
        return false;
    const bool wasCold = now < record->coldUntil;
    recordCold(*record, std::max(remaining, record->coldUntil - now), true, now);
    std::erase_if(m_selfReportedCold, [now](const auto &entry) { return entry.second <= now; });
    m_selfReportedCold[record->server.name] = record->coldUntil;
    return !wasCold;
}

void ServerTable::setRequestLimit(std::uint32_t server, double perSecond)
{
    const std::lock_guard lock(m_mutex);
    if (perSecond > 0)
        m_requestLimits[server] = perSecond;
    else
        m_requestLimits.erase(server);
}

void ServerTable::setDrained(const std::string &server, bool drained)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(server);
    if (found != m_records.end())
        found->second.drained = drained;
}

// The traffic factor is measured because callers aren't distributed evenly over the instances. When
// each instance assumed that all others send as much as itself, one that received all requests saw
// three times the actual load and rejected requests at a third of the capacity. The ratio of the
// load that servers report to what this instance has in flight there is the actual factor.
void ServerTable::recordTraffic(double reported, double own)
{
    constexpr double smoothing = 0.9; // weight of the previous average
    m_reportedTraffic = smoothing * m_reportedTraffic + (1 - smoothing) * reported;
    m_ownTraffic = smoothing * m_ownTraffic + (1 - smoothing) * own;
}

ServerStatus ServerTable::statusOf(const Record &record, TimePoint now) const
{
    const bool evacuated = m_evacuated.count(record.server.dataCentre) > 0;
    if (record.leaving || record.counters->saidLeaving || record.drained || evacuated)
        return ServerStatus::leaving;
    if (record.everReported && !record.report.reachable)
        return ServerStatus::unreachable;
    if (now < record.ejectedUntil || record.doubted)
        return ServerStatus::ejected;
    return record.ejections > 0 ? ServerStatus::trial : ServerStatus::usable;
}

RoutingTable ServerTable::routingTable(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    RoutingTable result;
    result.config = m_config;
    result.senders = m_senders;
    result.sendersComplete = m_sendersComplete;
    result.remote = m_remote;
    result.list = m_listState;
    constexpr double minOwnTraffic = 0.05; // avoids a division by nearly zero
    if (m_ownTraffic > minOwnTraffic)
        result.trafficFactor = std::clamp(m_reportedTraffic / m_ownTraffic, 1.0,
                                          std::max(1.0, static_cast<double>(m_senders.size())));
    for (const auto &[name, record] : m_records) {
        ServerView view;
        view.server = record.server;
        view.status = statusOf(record, now);
        view.reportedLoad = record.report.running + record.report.waiting;
        view.waiting = record.report.waiting;
        view.reportedAt = record.reportedAt;
        view.incarnation = record.report.incarnation;
        view.coldSince = record.coldSince;
        view.coldUntil = record.coldUntil;
        view.cooldownUntil = record.cooldownUntil;
        view.missingSince = record.missingSince;
        if (!m_requestLimits.empty()) {
            const auto limit = m_requestLimits.find(serverId(name));
            view.requestLimit = limit == m_requestLimits.end() ? 0 : limit->second;
        }
        view.counters = record.counters;
        result.servers.push_back(std::move(view));
    }
    return result;
}

std::vector<CompactLoad> ServerTable::reports(TimePoint now, std::size_t maxCount,
                                              std::size_t &cursor) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<CompactLoad> result;
    const std::size_t size = m_records.size();
    if (size == 0)
        return result;
    for (std::size_t step = 0; step < size && result.size() < maxCount; ++step) {
        const auto &record = std::next(m_records.begin(), (cursor + step) % size)->second;
        const Duration age = now - record.reportedAt;
        if (!record.everReported || age > m_limits.reportMaxAge)
            continue;
        result.push_back(compact(record, now));
    }
    cursor = (cursor + maxCount) % size;
    return result;
}

} // namespace ibisnotch
