// The way a request has taken between entry instances, and the rules that keep it from looping.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace ibisnotch {

struct Hop
{
    std::string instance;
    std::string region;
    bool operator==(const Hop &) const = default;
};

// The instances a request has passed, first to last; empty when it comes from its caller.
using ForwardPath = std::vector<Hop>;

constexpr std::string_view forwardPathHeader = "X-Ibisnotch-Path";
// Attempts of the request that may have run so far. Without it, the next instance would allow as
// many again, and one request would run on more servers than its service permits.
constexpr std::string_view previousRunsHeader = "X-Ibisnotch-Runs";

// "bp-1@budapest,gy-1@gyor"
std::string formatForwardPath(const ForwardPath &path);
absl::StatusOr<ForwardPath> parseForwardPath(std::string_view text);

// How often the path changes regions.
int regionChanges(const ForwardPath &path);

// The receiver's check. Fails with ResultCode::loopRefused if the request has been here, has
// changed regions more than once, or has been handed on too often. The sender follows the same
// rules; the check at the receiver holds when a sender with other settings does not.
absl::Status checkForwardPath(const ForwardPath &path, const Hop &self);

// Whether an instance that holds a request with this path may hand it to one in that region.
bool canForwardTo(const ForwardPath &path, const Hop &self, const Hop &next);

} // namespace ibisnotch
