// How long a prompt waits at a model engine before the engine reads it.
#pragma once

#include <cstdint>

#include "ibisnotch/clock.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// Engines read prompts one after the other, so under load it is the prompts ahead that make a first
// token late, while slots are still free: at a region's peak 50 of 64 slots were taken and first
// tokens took 1.3 s. Engines say with each answer how many requests wait; what one of them takes is
// learnt from first tokens. Waits measured by each instance alone, without those counts, were a
// tenth of the real ones (median 170 against 1,360 ms in a region short of engines): an instance of
// 27 sees too few first tokens of an engine.

// A first token came `taken` after its prompt was sent. `waiting` requests waited at the engine
// when it came; it had this many tokens of the prompt to read.
void noteFirstToken(ServerCounters &counters, std::int64_t tokens, double waiting, Duration taken);

// The wait that a prompt sent now would meet, at so many milliseconds for each request ahead.
Duration readDelay(const ServerView &view, double msPerWaiting);

// The time in which this many tokens are read; none while the rate is not known (0).
Duration readTime(double tokensPerMs, std::int64_t tokens);

} // namespace ibisnotch
