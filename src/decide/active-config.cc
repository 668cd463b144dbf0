#include "ibisnotch/active-config.h"

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
    const std::string_view oldText = from.text;
    const std::string_view newText = to.text;
    const std::size_t shorter = std::min(oldText.size(), newText.size());
    std::size_t head = 0;
    while (head < shorter && oldText[head] == newText[head])
        ++head;
    std::size_t tail = 0;
    while (tail < shorter - head
           && oldText[oldText.size() - 1 - tail] == newText[newText.size() - 1 - tail])
        ++tail;
    return {to.name, head, tail, std::string(newText.substr(head, newText.size() - head - tail))};
}

// Returns nothing if the old text is shorter than the unchanged bytes of the delta.
std::optional<ConfigFile> applyFileDelta(const ConfigFile &from, const FileDelta &delta)
{
    const std::uint64_t size = from.text.size();
    if (delta.commonPrefixBytes > size || delta.commonSuffixBytes > size - delta.commonPrefixBytes)
        return std::nullopt;
    return ConfigFile{delta.name,
                      from.text.substr(0, delta.commonPrefixBytes) + delta.replacement
                          + from.text.substr(size - delta.commonSuffixBytes)};
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
        const auto oldFile = old.overlays.find(site);
        if (oldFile == old.overlays.end() || oldFile->second != file)
            delta.changedOverlays[site] = makeFileDelta(
                oldFile == old.overlays.end() ? ConfigFile{} : oldFile->second, file);
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
        return absl::FailedPreconditionError("the delta starts from another version");
    ConfigDocument document;
    if (delta.fromVersion != 0)
        document = *from;
    document.version = delta.toVersion;
    document.author = delta.author;
    document.note = delta.note;
    if (delta.baseChanged) {
        const auto base = applyFileDelta(document.base, delta.base);
        if (!base)
            return absl::DataLossError("the delta does not apply to the base file");
        document.base = *base;
    }
    for (const auto &[site, change] : delta.changedOverlays) {
        const auto file = applyFileDelta(document.overlays[site], change);
        if (!file)
            return absl::DataLossError("the delta does not apply to the overlay of " + site);
        document.overlays[site] = *file;
    }
    for (const std::string &site : delta.removedOverlays)
        document.overlays.erase(site);
    if (hashOf(document) != delta.resultHash)
        return absl::DataLossError(
            "the resulting document does not have the hash that the delta states");
    return document;
}

absl::StatusOr<FleetConfig> OverlayFormat::parse(const ConfigDocument &document,
                                                 const std::string &site) const
{
    return parseFleetConfig(document, site);
}

ConfigApplyResult ActiveConfig::apply(const ConfigDocument &document)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_document && document.version <= m_document->version)
            return ConfigApplyResult::notNewer;
    }
    auto config = m_format->parse(document, m_site);
    const std::lock_guard lock(m_mutex);
    if (!config.ok()) {
        m_lastError = std::string(config.status().message());
        return ConfigApplyResult::invalid;
    }
    // Checked again: another thread may have applied a newer version while this one parsed.
    if (m_document && document.version <= m_document->version)
        return ConfigApplyResult::notNewer;
    fillServiceDefaults(*config);
    m_document = std::make_shared<const ConfigDocument>(document);
    m_config = std::make_shared<const FleetConfig>(*std::move(config));
    m_deltas.clear();
    m_history.push_back(m_document);
    if (m_history.size() > maxHistory)
        m_history.pop_front();
    return ConfigApplyResult::accepted;
}

std::uint64_t ActiveConfig::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_document ? m_document->version : 0;
}

std::shared_ptr<const ConfigDocument> ActiveConfig::document() const
{
    const std::lock_guard lock(m_mutex);
    return m_document;
}

std::shared_ptr<const FleetConfig> ActiveConfig::config() const
{
    const std::lock_guard lock(m_mutex);
    return m_config;
}

ConfigDelta ActiveConfig::deltaSince(std::uint64_t version) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_document)
        return {};
    const auto found
        = std::find_if(m_history.begin(), m_history.end(),
                       [version](const auto &document) { return document->version == version; });
    const ConfigDocument *from = found == m_history.end() ? nullptr : found->get();
    // Most peers ask for the same one, and the hash of a large document takes milliseconds.
    const auto [delta, isNew] = m_deltas.try_emplace(from == nullptr ? 0 : version);
    if (isNew)
        delta->second = makeDelta(from, *m_document);
    return delta->second;
}

std::string ActiveConfig::lastError() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastError;
}

} // namespace ibisnotch
