// The checks a request passes before anything is sent for it, in order.
#pragma once

#include <memory>
#include <optional>
#include <string_view>
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

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view servicesPath = "/v1/services/";

// Checks that hold for every interface, made for other chains than the one below.
std::unique_ptr<Filter> makePathFilter(EntryState &state);
// Service by host and path, with pool, customer, fingerprint and what the prompt shares.
std::unique_ptr<Filter> makeRuleFilter(EntryState &state);
// Deadline from the caller's wait and the service's time limit.
std::unique_ptr<Filter> makeWaitFilter();
std::unique_ptr<Filter> makeResidencyFilter(EntryState &state);
std::unique_ptr<Filter> makeQuarantineFilter(EntryState &state);

// Path, customer, service and body, deadline, residency, quarantine, booking key.
std::vector<std::unique_ptr<Filter>> makeFilters(EntryState &state);

} // namespace ibisnotch
