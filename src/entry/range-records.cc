// RangeSource: what the records of the ranges say, and their removal.
#include <algorithm>
#include <utility>

#include "ibisnotch/log.h"
#include "range-source.h"

namespace ibisnotch {

namespace {

// Time after which the operator has written again what a store that came back from a copy lacks.
constexpr Duration lostEvacuationTime = std::chrono::seconds(10);

} // namespace

void RangeSource::applyItem(const StoreItem &item, std::string_view source)
{
    if (item.deleted)
        return removeItem(item, source);
    Record record = m_format->read(item);
    if (const auto *document = std::get_if<ConfigDocument>(&record))
        return applyDocument(item, *document, source);
    if (auto *server = std::get_if<ListedServer>(&record))
        return applyServer(item, std::move(*server), source);
    if (const auto *suspect = std::get_if<SuspectPart>(&record))
        return applySuspect(*suspect, source);
    if (const auto *evacuated = std::get_if<EvacuatedDataCentre>(&record)) {
        m_serversChanged |= m_evacuated.insert(evacuated->name).second;
        m_lostEvacuations.erase(evacuated->name);
        logLine(LogPart::load, LogLevel::info, "Data centre evacuated.",
                {{"dataCentre", evacuated->name},
                 {"revision", revisionText(item.revision)},
                 {"source", std::string(source)}});
        return;
    }
    if (const auto *invalid = std::get_if<InvalidRecord>(&record)) {
        logLine(LogPart::store, LogLevel::warn, "Record could not be parsed.",
                {{"key", item.key},
                 {"revision", revisionText(item.revision)},
                 {"reason", invalid->reason}});
        // Treated as removed: the record no longer names a backend server that may be used.
        removeItem(item, source);
    }
}

void RangeSource::applyDocument(const StoreItem &item, const ConfigDocument &document,
                                std::string_view source)
{
    const std::uint64_t inForce = m_state.activeConfig.version();
    if (document.version < inForce)
        logLine(LogPart::config, LogLevel::warn, "Older configuration version not applied.",
                {{"version", std::to_string(document.version)},
                 {"inForce", std::to_string(inForce)},
                 {"revision", revisionText(item.revision)},
                 {"source", std::string(source)}});
    m_control.applyConfig(document, std::string(source));
}

void RangeSource::applyServer(const StoreItem &item, ListedServer server, std::string_view source)
{
    if (isLocal(server.server.dataCentre))
        logLine(LogPart::load, LogLevel::info, "Backend server listed.",
                {{"server", server.server.name},
                 {"pool", server.server.pool},
                 {"address", server.server.address},
                 {"version", server.server.softwareVersion},
                 {"leaving", server.leaving ? "yes" : "no"},
                 {"warmupMs", std::to_string(server.warmup.count() / 1000)},
                 {"revision", revisionText(item.revision)},
                 {"source", std::string(source)}});
    server.revision = item.revision;
    m_servers.put(std::move(server));
    m_serversChanged = true;
}

void RangeSource::applySuspect(const SuspectPart &suspect, std::string_view source)
{
    m_suspects.onWritten(suspect);
    const RecordResult result = m_state.suspects.onRecord(suspect, m_state.clock.now());
    if (result == RecordResult::refuted) {
        m_suspects.remove({suspect});
        return logSuspect("Prompt part refuted.", suspect, source);
    }
    if (result == RecordResult::known)
        return;
    logSuspect(suspicionSentence(suspect), suspect, source);
}

void RangeSource::removeSuspect(const SuspectKey &key, std::string_view source)
{
    m_suspects.onRemoved(key.id);
    if (const auto removed = m_state.suspects.onRecordRemoved(key.id, key.isBlock))
        logSuspect(key.isBlock ? "Prompt part released." : "Prompt part no longer suspect.",
                   *removed, source);
}

void RangeSource::removeItem(const StoreItem &item, std::string_view source)
{
    const TimePoint now = m_state.clock.now();
    if (const auto key = m_format->parseSuspectKey(item.key)) {
        // The instances write their own records again.
        if (!item.lost)
            removeSuspect(*key, source);
        return;
    }
    const std::string subject = m_format->subject(item.key);
    m_servers.remove(subject, now);
    if (item.lost && m_evacuated.count(subject) > 0)
        m_lostEvacuations.try_emplace(subject, now + lostEvacuationTime);
    else
        m_evacuated.erase(subject);
    m_serversChanged = true;
    logLine(LogPart::load, item.lost ? LogLevel::warn : LogLevel::info,
            item.lost ? "Record lost by the store." : "Record removed.",
            {{"key", item.key},
             {"revision", revisionText(item.revision)},
             {"source", std::string(source)}});
}

void RangeSource::expireLostEvacuations()
{
    const TimePoint now = m_state.clock.now();
    std::erase_if(m_lostEvacuations, [&](const auto &lost) {
        if (now < lost.second)
            return false;
        logLine(LogPart::load, LogLevel::warn, "Lost evacuation not written again, ended.",
                {{"dataCentre", lost.first}});
        m_evacuated.erase(lost.first);
        m_serversChanged = true;
        return true;
    });
}

std::string RangeSource::regionOf(const std::string &dataCentre) const
{
    for (const Region &region : m_state.settings.regions) {
        const auto &names = region.dataCentres;
        if (std::find(names.begin(), names.end(), dataCentre) != names.end())
            return region.name;
    }
    return {};
}

bool RangeSource::isLocal(const std::string &dataCentre) const
{
    return regionOf(dataCentre) == m_state.settings.region;
}

// What a server of this version began may still be resumed, whatever the list shows by now.
void RangeSource::noteWritten(const Range &range, const std::vector<StoreItem> &items)
{
    if (range.prefix != m_format->serverPrefix())
        return;
    for (const StoreItem &item : items) {
        if (item.deleted || item.revision <= range.follower.asOf())
            continue;
        const Record record = m_format->read(item);
        if (const auto *server = std::get_if<ListedServer>(&record)) {
            m_writtenOrigins.insert({server->server.pool, server->server.softwareVersion});
            m_serversChanged = true;
        }
    }
}

void RangeSource::publishChanges()
{
    if (!m_serversChanged)
        return;
    m_serversChanged = false;
    std::map<std::string, ListedServer> local;
    std::vector<RemoteServer> remote;
    std::set<StreamOrigin> origins;
    for (const auto &[name, listed] : m_servers.servers()) {
        const std::string &dataCentre = listed.server.dataCentre;
        const std::string region = regionOf(dataCentre);
        origins.insert({listed.server.pool, listed.server.softwareVersion});
        if (region == m_state.settings.region)
            local.emplace(name, listed);
        else if (!region.empty() && !listed.leaving && m_evacuated.count(dataCentre) == 0)
            remote.push_back({name, region, listed.server.pool, listed.server.softwareVersion});
    }
    m_writtenOrigins.insert(origins.begin(), origins.end());
    m_state.originHistory.setListed(std::exchange(m_writtenOrigins, {}), m_state.clock.now());
    m_state.originHistory.setListed(origins, m_state.clock.now());
    m_state.servers.setListed(std::move(local), m_state.clock.now());
    m_state.servers.setRemote(std::move(remote));
    m_state.servers.setEvacuated(m_evacuated);
    m_control.publishRoutingTable();
}

} // namespace ibisnotch
