// The checks a request passes before anything is sent for it, in order.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "exchange.h"
#include "state.h"

namespace ibisnotch {

// One check. Fills in its part of the exchange, or says why the request ends here.
class Filter
{
public:
    virtual ~Filter() = default;
    virtual std::optional<Refusal> apply(Exchange &exchange) = 0;
};

// Path, customer, service and body, deadline, residency, quarantine, booking key.
std::vector<std::unique_ptr<Filter>> makeFilters(EntryState &state);

} // namespace ibisnotch
