// How long a prompt waits at a model engine before the engine reads it.
#pragma once

#include <cstdint>

#include "ibisnotch/clock.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// Engines read prompts one after the other, so under load it is the prompts ahead that make a first
// token late, while slots are still free: at a region's peak 50 of 64 slots were taken and first
// tokens took 1.3 s. The wait is learnt from first tokens as they come, and from what was sent
// since.

// A first token came for a prompt of which the engine had this many tokens to read.
void noteFirstToken(ServerCounters &counters, std::int64_t tokens, Duration taken, TimePoint now);

// The wait that a prompt sent now would meet. `trafficFactor` as in RoutingTable.
Duration readDelay(const ServerCounters &counters, double trafficFactor, TimePoint now);

// The time that the engine takes to read this many tokens.
Duration readTime(const ServerCounters &counters, std::int64_t tokens);

} // namespace ibisnotch
