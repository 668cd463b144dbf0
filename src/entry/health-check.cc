#include "health-check.h"

namespace ibisnotch {

namespace {

// Servers of the region answer a check in a millisecond, or wait for a slot.
constexpr Duration checkTime = std::chrono::milliseconds(400);

} // namespace

OutgoingRequest shortHealthCheck(const EntryState &state, const Protocol &protocol,
                                 const BackendServer &server)
{
    OutgoingRequest request = protocol.healthCheck(*state.gate.config(), server);
    request.limits = {checkTime, checkTime, checkTime, checkTime};
    request.freshConnection = true;
    return request;
}

} // namespace ibisnotch
