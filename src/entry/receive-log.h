// Metrics and log lines of connections that are closed for what their clients do.
#pragma once

#include "ibisnotch/http-server.h"
#include "ibisnotch/metrics.h"

namespace ibisnotch {

class ReceiveLog final : public ReceiveObserver
{
public:
    explicit ReceiveLog(Metrics &metrics) : m_metrics(metrics) { }

    void onConnectionClosed(const ClosedConnection &connection) override;
    void onReceiving(std::size_t bytes, std::size_t connections) override;

private:
    Metrics &m_metrics;
};

} // namespace ibisnotch
