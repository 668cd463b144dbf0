// The version of the shared configuration that is in force on an instance, and the deltas in which
// instances send versions to each other.
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

// The change of one file: the new text between an unchanged prefix and suffix. Most changes affect
// one place, and with 12,000 changes a day a whole overlay must not be sent to every instance for
// each of them.
struct FileDelta
{
    std::string name;
    std::uint64_t commonPrefixBytes = 0; // unchanged bytes at the start of the old text
    std::uint64_t commonSuffixBytes = 0; // the same at its end
    std::string replacement;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(name, commonPrefixBytes, commonSuffixBytes, replacement);
    }
    bool operator==(const FileDelta &) const = default;
};

// The difference between two versions. Instances send each other deltas only.
struct ConfigDelta
{
    std::uint64_t fromVersion = 0; // 0 if the delta contains all files
    std::uint64_t toVersion = 0;
    std::string author;
    std::string note;
    bool baseChanged = false;
    FileDelta base;
    std::map<std::string, FileDelta> changedOverlays; // by site
    std::vector<std::string> removedOverlays;
    std::string resultHash; // hash of the resulting document

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(fromVersion, toVersion, author, note, baseChanged, base, changedOverlays,
                removedOverlays, resultHash);
    }
    bool operator==(const ConfigDelta &) const = default;
};

// Returns the delta between two versions. If `from` is null, it contains all files.
ConfigDelta makeDelta(const ConfigDocument *from, const ConfigDocument &to);

// Applies a delta to the version that it starts from. Fails if `from` is another version or the
// hash of the result differs; the whole document must then be requested.
absl::StatusOr<ConfigDocument> applyDelta(const ConfigDocument *from, const ConfigDelta &delta);

// Parses a document into the configuration of one site.
class ConfigFormat
{
public:
    virtual ~ConfigFormat() = default;
    virtual absl::StatusOr<FleetConfig> parse(const ConfigDocument &document,
                                              const std::string &site) const = 0;
};

// The default format: a YAML base file, and a YAML overlay for each site.
class OverlayFormat final : public ConfigFormat
{
public:
    absl::StatusOr<FleetConfig> parse(const ConfigDocument &document,
                                      const std::string &site) const override;
};

enum class ConfigApplyResult { accepted, notNewer, invalid };

// Holds the document in force. Its version only ever increases: an older document is rejected, for
// example one that arrives late, comes from a restarted peer or was read from a lagging replica of
// the store. Thread safe.
class ActiveConfig
{
public:
    explicit ActiveConfig(std::string site,
                          std::unique_ptr<ConfigFormat> format = std::make_unique<OverlayFormat>())
        : m_site(std::move(site)), m_format(std::move(format))
    {
    }

    // Puts a document into force unless it is invalid or not newer.
    ConfigApplyResult apply(const ConfigDocument &document);

    std::uint64_t version() const;
    std::shared_ptr<const ConfigDocument> document() const;
    std::shared_ptr<const FleetConfig> config() const;

    // Returns the delta for a peer that has this version in force.
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
    mutable std::map<std::uint64_t, ConfigDelta> m_deltas; // to m_document, by their first version
    std::string m_lastError;
};

} // namespace ibisnotch
