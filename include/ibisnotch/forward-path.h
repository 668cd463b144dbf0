// The path of a request between entry instances, and the rules that prevent forwarding loops.
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

// The instances that have forwarded a request, in order; empty if it comes from its caller.
using ForwardPath = std::vector<Hop>;

constexpr std::string_view forwardPathHeader = "X-Ibisnotch-Path";
// Number of attempts that may have run: in a request, those before it was forwarded; in a response
// to a peer, those so far. Without it each instance would allow the full number of attempts, and a
// request would run on more servers than its service permits.
constexpr std::string_view runsHeader = "X-Ibisnotch-Runs";
// Number of attempts at backend servers, counted like the runs but including those that the servers
// rejected. Without it a request that was rejected by servers of another region would be sent to
// one of this region without a retry of the budget.
constexpr std::string_view attemptsHeader = "X-Ibisnotch-Attempts";
// Version of the configuration by which the sender decided: in a request, the instance that
// forwards it; in a response to a peer, the instance that sent it to a backend server or refused
// it.
constexpr std::string_view configVersionHeader = "X-Ibisnotch-Config-Version";
// Digest of the rules by which the instance that forwards a request decided; see rulesDigest().
constexpr std::string_view rulesHeader = "X-Ibisnotch-Rules";
// Pool and software version of the server that began a stream: in a request to a peer, of the
// stream to be continued; in a response to a peer, of the stream that follows.
constexpr std::string_view originPoolHeader = "X-Ibisnotch-Stream-Pool";
constexpr std::string_view originVersionHeader = "X-Ibisnotch-Stream-Version";

// Returns the path in the format "bp-1@budapest,gy-1@gyor".
std::string formatForwardPath(const ForwardPath &path);
absl::StatusOr<ForwardPath> parseForwardPath(std::string_view text);

// Returns how often the path changes from one region to another.
int regionChanges(const ForwardPath &path);

// Checks a received request. Fails with ResultCode::loopRefused if the request has been at this
// instance before, has changed regions more than once, or has been forwarded too often. Senders
// follow the same rules; the check also works if a sender has other settings.
absl::Status checkForwardPath(const ForwardPath &path, const Hop &self);

// Returns true if instance `self` may forward a request with this path to `next`.
bool canForwardTo(const ForwardPath &path, const Hop &self, const Hop &next);

} // namespace ibisnotch
