// Asks a backend server itself whether it lives.
#pragma once

#include "ibisnotch/http-client.h"
#include "protocol.h"
#include "state.h"

namespace ibisnotch {

// With the limits that suit a server of the region. A configuration must be in force.
OutgoingRequest makeRegionHealthCheck(const EntryState &state, const Protocol &protocol,
                                      const BackendServer &server);

// Whether the server answers at all.
OutgoingRequest makeRegionStatusQuery(const Protocol &protocol, const BackendServer &server);

} // namespace ibisnotch
