// Functions shared by reading, checking and querying the configuration.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/strings/str_join.h>

#include "ibisnotch/config.h"

namespace ibisnotch::detail {

inline bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

// Returns whether a list of allowed items permits the item; an empty list permits all.
inline bool allows(const std::vector<std::string> &list, const std::string &item)
{
    return list.empty() || contains(list, item);
}

inline bool isKnownRegion(const FleetConfig &config, const std::string &name)
{
    return std::any_of(config.regions.begin(), config.regions.end(),
                       [&name](const Region &region) { return region.name == name; });
}

// Returns an error with one line per message.
inline absl::Status makeErrorStatus(const std::vector<std::string> &errors)
{
    return absl::InvalidArgumentError(absl::StrJoin(errors, "\n"));
}

} // namespace ibisnotch::detail
