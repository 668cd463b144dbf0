// Health checks of backend servers in the same region.
#pragma once

#include "ibisnotch/http-client.h"
#include "protocol.h"
#include "state.h"

namespace ibisnotch {

// Makes a health check with a timeout for servers in the same region. A configuration must be in
// force.
OutgoingRequest makeRegionHealthCheck(const EntryState &state, const Protocol &protocol,
                                      const BackendServer &server);

// Makes a status query, which the server also answers while all its slots are in use.
OutgoingRequest makeRegionStatusQuery(const Protocol &protocol, const BackendServer &server);

} // namespace ibisnotch
