// What instances do with requests while their configurations differ. A change reaches them within
// some hundred milliseconds of each other, and much later if they were cut off or stood still.
#pragma once

#include <optional>

#include "exchange.h"
#include "state.h"

namespace ibisnotch {

// Returns whether an instance refuses with this code because of its configuration, so that one with
// another version may serve the request.
bool isDecidedByConfig(ResultCode code);

// Returns whether the request may be decided by an older configuration than the newest: the
// instance that forwarded it has a newer one, or nobody has confirmed this instance's own.
bool mayBeOutdated(const EntryState &state, const Exchange &exchange);

// Returns the refusal of an instance whose configuration may be outdated.
Refusal configBehindRefusal(EntryState &state, std::string detail = {});

// Returns the refusal, or a temporary one in its place if a newer configuration may allow the
// request. Callers don't try again after a permanent one.
Refusal judgeRefusal(EntryState &state, const Exchange &exchange, Refusal refusal);

// Refuses a forwarded request that the newer configuration of the instance that forwarded it treats
// in another way. It would run by rules that no longer hold.
std::optional<Refusal> checkSenderRules(EntryState &state, const Exchange &exchange);

} // namespace ibisnotch
