// Which requests a stopping instance still passes on.
#pragma once

#include "ibisnotch/clock.h"

namespace ibisnotch {

struct StopInput
{
    Duration untilEnd{}; // until the instance cuts what still runs
    Duration remaining{}; // until the request's deadline
    Duration expected{}; // typical duration of the run
    bool idempotent = true;

    bool operator==(const StopInput &) const = default;
};

// Returns whether a request is likely to be answered before the instance cuts what still runs. One
// that is not may run at another instance, which its caller can use at once.
bool canEndBeforeStop(const StopInput &input);

} // namespace ibisnotch
