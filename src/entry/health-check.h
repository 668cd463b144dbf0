// Health checks and status checks of backend servers in the same region. A health check may wait
// for a slot; possibly cold servers get it, and silent ones that were taken out of use. A status
// check is answered even while all slots are in use; a silent server gets it before the requests
// running there are ended.
#pragma once

#include "ibisnotch/http-client.h"
#include "protocol.h"
#include "state.h"

namespace ibisnotch {

// Bound of the body of a server's answer about itself.
constexpr std::size_t maxReportBytes = 256U << 10;

// Makes a health check with a timeout for servers in the same region. A configuration must be in
// force.
OutgoingRequest makeRegionHealthCheck(const EntryState &state, const Protocol &protocol,
                                      const BackendServer &server);

// The same for a status check, which needs no configuration.
OutgoingRequest makeRegionStatusCheck(const Protocol &protocol, const BackendServer &server);

} // namespace ibisnotch
