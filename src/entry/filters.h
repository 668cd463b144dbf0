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
// Between instances, in place of the customer's key.
constexpr std::string_view customerHeader = "X-Customer";
constexpr std::string_view servicesPath = "/v1/services/";

// What follows "Bearer " in the Authorization field; empty if there is none.
std::string bearerToken(const Headers &headers);

// What a request is told whose customer is not in the configuration that is in force here.
Refusal unknownCustomerRefusal(EntryState &state, const Exchange &exchange);

// Checks that hold for every interface, made for other chains than the one below.
std::unique_ptr<Filter> makeForwardPathFilter(EntryState &state);
// Service by host and path, with pool, customer, fingerprint and what the prompt shares.
std::unique_ptr<Filter> makePathRuleFilter(EntryState &state);
// Deadline from the caller's wait and the service's time limit.
std::unique_ptr<Filter> makeTimeoutFilter();
std::unique_ptr<Filter> makeResidencyFilter(EntryState &state);
std::unique_ptr<Filter> makeQuarantineFilter(EntryState &state);
// The customer's usage cap, at the first instance only. Last, as it counts what passes.
std::unique_ptr<Filter> makeUsageFilter(EntryState &state);

// Path, customer, service and body, deadline, residency, quarantine, booking key.
std::vector<std::unique_ptr<Filter>> makeChatFilters(EntryState &state);

} // namespace ibisnotch
