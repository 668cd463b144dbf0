#include "ibisnotch/shared-rate.h"

#include <algorithm>

#include "ibisnotch/hash.h"

namespace ibisnotch {

std::size_t requestsForInstance(std::size_t requests, const std::vector<std::string> &senders,
                                const std::string &self, const std::string &server)
{
    if (requests == 0)
        return 0;
    const std::uint64_t hash = hash64(server);
    const std::uint64_t own = rendezvousWeight(self, hash);
    const auto ahead = static_cast<std::size_t>(
        std::count_if(senders.begin(), senders.end(), [&](const std::string &name) {
            return name != self && rendezvousWeight(name, hash) > own;
        }));
    const std::size_t senderCount = std::min(std::max<std::size_t>(senders.size(), 1), requests);
    return ahead >= senderCount ? 0 : requests / senderCount;
}

std::optional<Duration> sendInterval(const SharedRate &rate,
                                     const std::vector<std::string> &senders,
                                     const std::string &self, const std::string &server)
{
    const std::size_t requests = requestsForInstance(rate.requests, senders, self, server);
    if (requests == 0)
        return std::nullopt;
    return rate.window / requests;
}

} // namespace ibisnotch
