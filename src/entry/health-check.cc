#include "health-check.h"

namespace ibisnotch {

namespace {

// Servers of the region answer a check in a millisecond, or wait for a slot.
constexpr Duration checkTime = std::chrono::milliseconds(400);

// A server that lives tells its state in some ten.
constexpr Duration answerTime = std::chrono::milliseconds(300);

OutgoingRequest withLimits(OutgoingRequest request, Duration limit)
{
    request.limits = {limit, limit, limit, limit};
    // A kept connection may have fallen silent by itself.
    request.freshConnection = true;
    return request;
}

} // namespace

OutgoingRequest shortHealthCheck(const EntryState &state, const Protocol &protocol,
                                 const BackendServer &server)
{
    return withLimits(protocol.healthCheck(*state.gate.config(), server), checkTime);
}

OutgoingRequest shortStateQuery(const Protocol &protocol, const BackendServer &server)
{
    return withLimits(protocol.stateQuery(server), answerTime);
}

} // namespace ibisnotch
