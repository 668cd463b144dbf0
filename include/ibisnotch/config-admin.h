// Reads and changes the shared configuration in the store for operators' tools.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "ibisnotch/config.h"
#include "ibisnotch/store.h"

namespace ibisnotch {

struct StoredConfig
{
    std::optional<ConfigDocument> document; // nothing if the store holds no configuration yet
    std::uint64_t index = 0; // modify index of the key; 0 if it does not exist
    bool operator==(const StoredConfig &) const = default;
};

// All calls block. They must not be made on the loop of the store's HTTP client.
class ConfigAdmin
{
public:
    explicit ConfigAdmin(Store &store) : m_store(store) { }

    // Returns the configuration in force.
    absl::StatusOr<StoredConfig> current();
    // Returns the configuration in force or an earlier one by its version.
    absl::StatusOr<ConfigDocument> version(std::uint64_t number);

    // Validates the draft for all sites against the configuration in force and writes it as the
    // next version. Fails with kAborted if another operator's change came first (nothing was
    // written), with kInvalidArgument if the draft is invalid, with kUnavailable if the store did
    // not accept the call, and with kUnknown if it is unknown whether the store did.
    absl::StatusOr<ConfigDocument> apply(ConfigDocument draft,
                                         std::optional<std::uint64_t> basedOn);

    // Writes the sources of an earlier version as a new version.
    absl::StatusOr<ConfigDocument> rollBack(std::uint64_t number, const std::string &author);

private:
    StoreRead read(const std::string &key);
    StoreWrite write(const std::string &key, std::uint64_t index, const std::string &value);
    absl::Status saveToHistory(const ConfigDocument &document);
    absl::StatusOr<ConfigDocument> resolveUnknownWrite(const ConfigDocument &draft);

    Store &m_store;
};

// Loads a document from a folder that contains base.yaml and one sites/SITE.yaml for each site.
absl::StatusOr<ConfigDocument> loadDocument(const std::string &folder);

// Returns the lines that differ between two versions, file by file, each with its line number and
// "-" or "+" in front.
std::string diffDocuments(const ConfigDocument &from, const ConfigDocument &to);

} // namespace ibisnotch
