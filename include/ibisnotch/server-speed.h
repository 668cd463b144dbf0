// Decides how long work takes on the machine of a backend server, from what the server states and
// from the pace of its streams.
#pragma once

#include "ibisnotch/clock.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// Servers share machines, and a neighbour slows a server down for some tenths of a second. A stated
// value is believed in full while it is that fresh, and then less and less in favour of the mean of
// the last seconds. Otherwise work would move away from a server that is usual again, and all
// instances would move it at the same time.

// Returns whether a server may state this percentage.
bool isValidSlowdown(double percent);

// Records a stated percentage, as of `at`. Invalid values, and values older than the last one, are
// ignored. Not atomic: of two concurrent calls one may be lost.
void recordSlowdown(ServerCounters &counters, double percent, TimePoint at, bool statedHere);

// Records the mean interval between the events of a stream of a model engine. `usualInterval` is
// that of the streams of its pool (see engine-statistics.h), in seconds; 0 if unknown. Shows the
// speed of servers that state none.
void recordPace(ServerCounters &counters, double intervalSeconds, double usualInterval);

// Returns the factor by which work now takes longer than usually at the server, by its statements.
double statedSlowdown(const ServerCounters &counters, TimePoint now);

// Returns the factor by which work now takes longer than at a usual server of the pool.
double slowdown(const ServerCounters &counters, TimePoint now);

// Returns the highest slowdown of the servers that may get requests.
double maxSlowdown(const RoutingTable &table, TimePoint now);

// Returns whether the last stated value has to be shared with other instances now.
bool isSlowdownNews(const ServerCounters &counters, TimePoint now);

} // namespace ibisnotch
