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

// What changed between two versions: whole files, since an overlay is small and a base file changes
// rarely. Only that travels between instances.
struct ConfigDelta
{
    std::uint64_t fromVersion = 0; // 0: all files are here
    std::uint64_t toVersion = 0;
    std::string author;
    std::string note;
    std::string baseName;
    std::string baseText;
    bool baseChanged = false;
    std::map<std::string, std::pair<std::string, std::string>> changedOverlays; // name, text
    std::vector<std::string> removedOverlays;
    std::string resultHash; // of the whole resulting document

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(fromVersion, toVersion, author, note, baseName, baseText, baseChanged,
                changedOverlays, removedOverlays, resultHash);
    }
    bool operator==(const ConfigDelta &) const = default;
};

// From null: a delta with everything.
ConfigDelta makeDelta(const ConfigDocument *from, const ConfigDocument &to);

// Fails if the delta does not start at this version or the result does not hash as it should; the
// whole document must then be asked for.
absl::StatusOr<ConfigDocument> applyDelta(const ConfigDocument *from, const ConfigDelta &delta);

enum class OfferAnswer { accepted, notNewer, invalid };

// Holds the document in force. Versions only ever rise: a document that took long on its way, was
// kept by a restarted peer, or was read from a lagging replica of the store is turned down. Thread
// safe.
class ConfigGate
{
public:
    explicit ConfigGate(std::string site) : m_site(std::move(site)) { }

    OfferAnswer offer(const ConfigDocument &document);

    std::uint64_t version() const;
    std::shared_ptr<const ConfigDocument> document() const;
    std::shared_ptr<const FleetConfig> config() const;

    // What a peer needs that has this version in force.
    ConfigDelta deltaSince(std::uint64_t version) const;
    std::string lastError() const;

private:
    static constexpr std::size_t kept = 16;

    std::string m_site;
    mutable std::mutex m_mutex;
    std::shared_ptr<const ConfigDocument> m_document;
    std::shared_ptr<const FleetConfig> m_config;
    std::deque<std::shared_ptr<const ConfigDocument>> m_history;
    std::string m_lastError;
};

} // namespace ibisnotch
