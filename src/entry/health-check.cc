#include "health-check.h"

namespace ibisnotch {

namespace {

// Servers in the region respond to a health check within a millisecond, unless it waits for a slot.
constexpr Duration healthCheckTimeout = std::chrono::milliseconds(400);

// A working server responds to a status check in about 10 ms.
constexpr Duration statusCheckTimeout = std::chrono::milliseconds(300);

OutgoingRequest withTimeout(OutgoingRequest request, Duration limit)
{
    request.limits = {limit, limit, limit, limit};
    // A reused connection may be broken although the server works.
    request.useNewConnection = true;
    request.maxBufferedBytes = maxReportBytes;
    return request;
}

} // namespace

OutgoingRequest makeRegionHealthCheck(const EntryState &state, const Protocol &protocol,
                                      const BackendServer &server)
{
    return withTimeout(protocol.makeHealthCheck(*state.activeConfig.config(), server),
                       healthCheckTimeout);
}

OutgoingRequest makeRegionStatusCheck(const Protocol &protocol, const BackendServer &server)
{
    return withTimeout(protocol.makeStatusCheck(server), statusCheckTimeout);
}

} // namespace ibisnotch
