// The one request that tests an ejected server.
#pragma once

#include <memory>

#include "ibisnotch/server-table.h"

namespace ibisnotch {

// Keeps other requests from the server while it exists. A request that ends without showing
// anything of the server, as when its caller leaves, so lets the next one test it.
class ServerTrial
{
public:
    ServerTrial() = default;
    // Begins a trial, unless the server has one.
    explicit ServerTrial(const std::shared_ptr<ServerCounters> &counters)
    {
        if (!counters->trialInProgress.exchange(true))
            m_counters = counters;
    }
    ServerTrial(ServerTrial &&other) noexcept = default;
    ServerTrial &operator=(ServerTrial &&other) = delete;
    ServerTrial(const ServerTrial &) = delete;
    ServerTrial &operator=(const ServerTrial &) = delete;
    ~ServerTrial()
    {
        if (m_counters)
            m_counters->trialInProgress = false;
    }

    bool hasBegun() const { return m_counters != nullptr; }

private:
    std::shared_ptr<ServerCounters> m_counters;
};

} // namespace ibisnotch
