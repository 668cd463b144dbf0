// Operators' changes to the shared configuration, against the platform's store.
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
    std::optional<ConfigDocument> document; // none yet
    std::uint64_t index = 0;
    bool operator==(const StoredConfig &) const = default;
};

// Blocking calls, for command line tools. Not for the loop of the store's client.
class ConfigAdmin
{
public:
    explicit ConfigAdmin(Store &store) : m_store(store) { }

    absl::StatusOr<StoredConfig> current();
    absl::StatusOr<ConfigDocument> version(std::uint64_t number);

    // Checks the draft for all sites against what is in force and writes it as the next version.
    // Fails with kAborted if another operator was first (nothing was written), with
    // kInvalidArgument if the draft is wrong, with kUnavailable if the store did not take the call,
    // and with kUnknown if the store never told whether it did.
    absl::StatusOr<ConfigDocument> apply(ConfigDocument draft,
                                         std::optional<std::uint64_t> basedOn);

    // The sources of an earlier version as a new one.
    absl::StatusOr<ConfigDocument> rollBack(std::uint64_t number, const std::string &author);

private:
    StoreRead read(const std::string &key);
    StoreWrite write(const std::string &key, std::uint64_t index, const std::string &value);
    absl::Status saveToHistory(const ConfigDocument &document);
    absl::StatusOr<ConfigDocument> resolveUnknownWrite(const ConfigDocument &draft);

    Store &m_store;
};

// A document from a folder with base.yaml and one sites/SITE.yaml for each site.
absl::StatusOr<ConfigDocument> loadDocument(const std::string &folder);

// Changed lines between two versions, file by file, "-" and "+" before each.
std::string diffDocuments(const ConfigDocument &from, const ConfigDocument &to);

} // namespace ibisnotch
