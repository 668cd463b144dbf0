#include "receive-log.h"

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

LogLevel levelOf(ReceiveFault fault)
{
    // Idle connections are closed all the time.
    if (fault == ReceiveFault::idleTimeout)
        return LogLevel::debug;
    return fault == ReceiveFault::clientLeft ? LogLevel::info : LogLevel::warn;
}

} // namespace

void ReceiveLog::onConnectionClosed(const ClosedConnection &connection)
{
    const std::string fault(receiveFaultName(connection.fault));
    m_metrics.onConnectionClosed(connection.portName, fault);
    logLine(LogPart::request, levelOf(connection.fault), "Connection closed.",
            {{"port", connection.portName},
             {"client", connection.clientAddress + ":" + std::to_string(connection.clientPort)},
             {"fault", fault},
             {"heldBytes", std::to_string(connection.heldBytes)},
             {"totalBytes", std::to_string(connection.totalBytes)},
             {"silentMs", millisecondsText(connection.silence)}});
}

void ReceiveLog::onReceiving(std::size_t bytes, std::size_t connections)
{
    m_metrics.setGauge("ibisnotch_receiving_bytes", static_cast<double>(bytes));
    m_metrics.setGauge("ibisnotch_connections", static_cast<double>(connections));
}

} // namespace ibisnotch
