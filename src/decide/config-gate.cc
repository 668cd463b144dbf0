#include "ibisnotch/config-gate.h"

#include <algorithm>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

std::string hashOf(const ConfigDocument &document)
{
    return hash128Hex(serializeDocument(document), "");
}

} // namespace

ConfigDelta makeDelta(const ConfigDocument *from, const ConfigDocument &to)
{
    ConfigDelta delta;
    delta.fromVersion = from == nullptr ? 0 : from->version;
    delta.toVersion = to.version;
    delta.author = to.author;
    delta.note = to.note;
    delta.baseChanged = from == nullptr || from->base != to.base;
    if (delta.baseChanged) {
        delta.baseName = to.base.name;
        delta.baseText = to.base.text;
    }
    for (const auto &[site, file] : to.overlays) {
        const bool same
            = from != nullptr && from->overlays.count(site) > 0 && from->overlays.at(site) == file;
        if (!same)
            delta.changedOverlays[site] = {file.name, file.text};
    }
    if (from != nullptr) {
        for (const auto &[site, file] : from->overlays) {
            if (to.overlays.count(site) == 0)
                delta.removedOverlays.push_back(site);
        }
    }
    delta.resultHash = hashOf(to);
    return delta;
}

absl::StatusOr<ConfigDocument> applyDelta(const ConfigDocument *from, const ConfigDelta &delta)
{
    const std::uint64_t version = from == nullptr ? 0 : from->version;
    if (delta.fromVersion != 0 && delta.fromVersion != version)
        return absl::FailedPreconditionError("the delta starts at another version");
    ConfigDocument document;
    if (delta.fromVersion != 0)
        document = *from;
    document.version = delta.toVersion;
    document.author = delta.author;
    document.note = delta.note;
    if (delta.baseChanged)
        document.base = {delta.baseName, delta.baseText};
    for (const auto &[site, file] : delta.changedOverlays)
        document.overlays[site] = {file.first, file.second};
    for (const std::string &site : delta.removedOverlays)
        document.overlays.erase(site);
    if (hashOf(document) != delta.resultHash)
        return absl::DataLossError("the delta does not give the document it names");
    return document;
}

OfferAnswer ConfigGate::offer(const ConfigDocument &document)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_document && document.version <= m_document->version)
            return OfferAnswer::notNewer;
    }
    auto config = parseFleetConfig(document, m_site);
    const std::lock_guard lock(m_mutex);
    if (!config.ok()) {
        m_lastError = std::string(config.status().message());
        return OfferAnswer::invalid;
    }
    // Checked again: another thread may have moved on while this one parsed.
    if (m_document && document.version <= m_document->version)
        return OfferAnswer::notNewer;
    m_document = std::make_shared<const ConfigDocument>(document);
    m_config = std::make_shared<const FleetConfig>(*std::move(config));
    m_history.push_back(m_document);
    if (m_history.size() > kept)
        m_history.pop_front();
    return OfferAnswer::accepted;
}

std::uint64_t ConfigGate::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_document ? m_document->version : 0;
}

std::shared_ptr<const ConfigDocument> ConfigGate::document() const
{
    const std::lock_guard lock(m_mutex);
    return m_document;
}

std::shared_ptr<const FleetConfig> ConfigGate::config() const
{
    const std::lock_guard lock(m_mutex);
    return m_config;
}

ConfigDelta ConfigGate::deltaSince(std::uint64_t version) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_document)
        return {};
    const auto found
        = std::find_if(m_history.begin(), m_history.end(),
                       [version](const auto &document) { return document->version == version; });
    return makeDelta(found == m_history.end() ? nullptr : found->get(), *m_document);
}

std::string ConfigGate::lastError() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastError;
}

} // namespace ibisnotch
