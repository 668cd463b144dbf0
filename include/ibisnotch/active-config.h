// Which version of the shared configuration is in force on an instance, and how versions travel.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <absl/status/statusor.h>

#include "ibisnotch/config.h"

namespace ibisnotch {

// What changed in one file: the bytes between a head and a tail that stayed as they were. Most
// changes touch one place, and 12,000 of them a day must not each carry a whole overlay to every
// instance.
struct FileDelta
{
    std::string name;
    std::uint64_t commonPrefixBytes = 0; // bytes of the old text
    std::uint64_t commonSuffixBytes = 0;
    std::string replacement;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(name, commonPrefixBytes, commonSuffixBytes, replacement);
    }
    bool operator==(const FileDelta &) const = default;
};

// What changed between two versions. Only that travels between instances.
struct ConfigDelta
{
    std::uint64_t fromVersion = 0; // 0: all files are here
    std::uint64_t toVersion = 0;
    std::string author;
    std::string note;
    bool baseChanged = false;
    FileDelta base;
    std::map<std::string, FileDelta> changedOverlays; // by site
    std::vector<std::string> removedOverlays;
    std::string resultHash; // of the whole resulting document

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(fromVersion, toVersion, author, note, baseChanged, base, changedOverlays,
                removedOverlays, resultHash);
    }
    bool operator==(const ConfigDelta &) const = default;
};

// From null: a delta with everything.
ConfigDelta makeDelta(const ConfigDocument *from, const ConfigDocument &to);

// Fails if the delta does not start at this version or the result does not hash as it should; the
// whole document must then be asked for.
absl::StatusOr<ConfigDocument> applyDelta(const ConfigDocument *from, const ConfigDelta &delta);

// How a document's text becomes the configuration of one site.
class ConfigFormat
{
public:
    virtual ~ConfigFormat() = default;
    virtual absl::StatusOr<FleetConfig> parse(const ConfigDocument &document,
                                              const std::string &site) const = 0;
};

// The product's own format: a base file and an overlay for each site, in YAML.
class OverlayFormat final : public ConfigFormat
{
public:
    absl::StatusOr<FleetConfig> parse(const ConfigDocument &document,
                                      const std::string &site) const override;
};

enum class ConfigApplyResult { accepted, notNewer, invalid };

// Holds the document in force. Versions only ever rise: a document that took long on its way, was
// kept by a restarted peer, or was read from a lagging replica of the store is turned down.
// Thread safe.
class ActiveConfig
{
public:
    explicit ActiveConfig(std::string site,
                          std::unique_ptr<ConfigFormat> format = std::make_unique<OverlayFormat>())
        : m_site(std::move(site)), m_format(std::move(format))
    {
    }

    ConfigApplyResult apply(const ConfigDocument &document);

    std::uint64_t version() const;
    std::shared_ptr<const ConfigDocument> document() const;
    std::shared_ptr<const FleetConfig> config() const;

    // What a peer needs that has this version in force.
    ConfigDelta deltaSince(std::uint64_t version) const;
    std::string lastError() const;

private:
    static constexpr std::size_t maxHistory = 16;

    std::string m_site;
    std::unique_ptr<ConfigFormat> m_format;
    mutable std::mutex m_mutex;
    std::shared_ptr<const ConfigDocument> m_document;
    std::shared_ptr<const FleetConfig> m_config;
    std::deque<std::shared_ptr<const ConfigDocument>> m_history;
    std::string m_lastError;
};

} // namespace ibisnotch
