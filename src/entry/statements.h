// Passes on what backend servers say of themselves in responses to this instance.
#pragma once

#include <string_view>

#include "protocol.h"
#include "state.h"

namespace ibisnotch {

// Servers in the same region accept a connection within milliseconds, another region within 160 ms.
constexpr Duration connectTimeout = std::chrono::milliseconds(500);

// Records that the server said in the response to a request sent at `sentAt` that it leaves.
// Returns true if that is news; the routing table is then outdated. May be called from any thread.
bool hearLeaving(EntryState &state, const Target &target, TimePoint sentAt,
                 std::string_view source);

// Records the rest that the server asked for in the response to such a request. It holds for this
// instance only. May be called from any thread.
void hearRest(EntryState &state, const Target &target, TimePoint sentAt, const NamedRest &rest,
              std::string_view source);

// Records how long work takes on the server's machine, if the settings ask for that. May be called
// from any thread.
void hearSlowdown(EntryState &state, const std::string &server, ServerCounters &counters,
                  const ResponseLoad &load);

} // namespace ibisnotch
