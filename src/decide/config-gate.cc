#include "ibisnotch/config-gate.h"

#include <algorithm>
#include <optional>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

std::string hashOf(const ConfigDocument &document)
{
    return hash128Hex(serializeDocument(document), "");
}

FileDelta makeFileDelta(const ConfigFile &from, const ConfigFile &to)
{
    const std::string_view before = from.text;
    const std::string_view after = to.text;
    const std::size_t shorter = std::min(before.size(), after.size());
    std::size_t head = 0;
    while (head < shorter && before[head] == after[head])
        ++head;
    std::size_t tail = 0;
    while (tail < shorter - head
           && before[before.size() - 1 - tail] == after[after.size() - 1 - tail])
        ++tail;
    return {to.name, head, tail, std::string(after.substr(head, after.size() - head - tail))};
}

// Empty if the old text is shorter than what was kept of it.
std::optional<ConfigFile> applyFileDelta(const ConfigFile &from, const FileDelta &delta)
{
    const std::uint64_t size = from.text.size();
    if (delta.keptHead > size || delta.keptTail > size - delta.keptHead)
        return std::nullopt;
    return ConfigFile{delta.name,
                      from.text.substr(0, delta.keptHead) + delta.middle
                          + from.text.substr(size - delta.keptTail)};
}

} // namespace

ConfigDelta makeDelta(const ConfigDocument *from, const ConfigDocument &to)
{
    ConfigDelta delta;
    delta.fromVersion = from == nullptr ? 0 : from->version;
    delta.toVersion = to.version;
    delta.author = to.author;
    delta.note = to.note;
    const ConfigDocument nothing;
    const ConfigDocument &old = from == nullptr ? nothing : *from;
    delta.baseChanged = old.base != to.base;
    if (delta.baseChanged)
        delta.base = makeFileDelta(old.base, to.base);
    for (const auto &[site, file] : to.overlays) {
        const auto before = old.overlays.find(site);
        if (before == old.overlays.end() || before->second != file)
            delta.changedOverlays[site]
                = makeFileDelta(before == old.overlays.end() ? ConfigFile{} : before->second, file);
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
    if (delta.baseChanged) {
        const auto base = applyFileDelta(document.base, delta.base);
        if (!base)
            return absl::DataLossError("the delta does not fit the base file");
        document.base = *base;
    }
    for (const auto &[site, change] : delta.changedOverlays) {
        const auto file = applyFileDelta(document.overlays[site], change);
        if (!file)
            return absl::DataLossError("the delta does not fit the overlay of " + site);
        document.overlays[site] = *file;
    }
    for (const std::string &site : delta.removedOverlays)
        document.overlays.erase(site);
    if (hashOf(document) != delta.resultHash)
        return absl::DataLossError("the delta does not give the document it names");
    return document;
}

absl::StatusOr<FleetConfig> OverlayFormat::parse(const ConfigDocument &document,
                                                 const std::string &site) const
{
    return parseFleetConfig(document, site);
}

OfferAnswer ConfigGate::offer(const ConfigDocument &document)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_document && document.version <= m_document->version)
            return OfferAnswer::notNewer;
    }
    auto config = m_format->parse(document, m_site);
    const std::lock_guard lock(m_mutex);
    if (!config.ok()) {
        m_lastError = std::string(config.status().message());
        return OfferAnswer::invalid;
    }
    // Checked again: another thread may have moved on while this one parsed.
    if (m_document && document.version <= m_document->version)
        return OfferAnswer::notNewer;
    fillServiceDefaults(*config);
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
