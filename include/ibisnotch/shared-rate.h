// A rate of requests to one backend server that holds for all instances of a region together, and
// the part of it that one instance may use.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "ibisnotch/clock.h"

namespace ibisnotch {

// At most so many requests in any window of this length.
struct SharedRate
{
    std::size_t requests = 0;
    Duration window{};
    bool operator==(const SharedRate &) const = default;
};

// Returns how many of the requests are assigned to the instance `self`. The first senders in the
// rendezvous order of the server get the same number each, the others none; all instances compute
// the same assignment.
std::size_t requestsForInstance(std::size_t requests, const std::vector<std::string> &senders,
                                const std::string &self, const std::string &server);

// Returns the minimum time between two requests of the instance `self` to the server; empty if all
// requests are assigned to other instances.
std::optional<Duration> sendInterval(const SharedRate &rate,
                                     const std::vector<std::string> &senders,
                                     const std::string &self, const std::string &server);

} // namespace ibisnotch
