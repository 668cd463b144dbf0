#include "health-check.h"

namespace ibisnotch {

namespace {

// Servers of the region answer a check in a millisecond, or wait for a slot.
constexpr Duration healthCheckTimeout = std::chrono::milliseconds(400);

// A server that lives tells its state in some ten.
constexpr Duration statusQueryTimeout = std::chrono::milliseconds(300);

OutgoingRequest withTimeout(OutgoingRequest request, Duration limit)
{
    request.limits = {limit, limit, limit, limit};
    // A kept connection may have fallen silent by itself.
    request.freshConnection = true;
    return request;
}

} // namespace

OutgoingRequest makeRegionHealthCheck(const EntryState &state, const Protocol &protocol,
                                      const BackendServer &server)
{
    return withTimeout(protocol.makeHealthCheck(*state.gate.config(), server), healthCheckTimeout);
}

OutgoingRequest makeRegionStatusQuery(const Protocol &protocol, const BackendServer &server)
{
    return withTimeout(protocol.makeStatusQuery(server), statusQueryTimeout);
}

} // namespace ibisnotch
