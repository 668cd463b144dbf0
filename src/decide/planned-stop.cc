#include "ibisnotch/planned-stop.h"

namespace ibisnotch {

namespace {

// A request that may not run twice is lost if it is cut, so it gets more time than a typical run.
constexpr double bookingTimeFactor = 1.5;

} // namespace

bool canEndBeforeStop(const StopInput &input)
{
    // By its deadline a request has its answer, if only that it is late.
    if (input.remaining <= input.untilEnd)
        return true;
    const double factor = input.idempotent ? 1 : bookingTimeFactor;
    return factor * seconds(input.expected) <= seconds(input.untilEnd);
}

} // namespace ibisnotch
