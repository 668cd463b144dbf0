// The checks that a request passes before it is dispatched.
#pragma once

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "exchange.h"
#include "state.h"

namespace ibisnotch {

// One check of a request.
class Filter
{
public:
    virtual ~Filter() = default;
    // Fills in its part of the exchange. Returns a refusal if the request must not be dispatched.
    virtual std::optional<Refusal> apply(Exchange &exchange) = 0;
};

constexpr std::string_view chatPath = "/v1/chat/completions";
// Names the customer between instances, in place of the customer's key.
constexpr std::string_view customerHeader = "X-Customer";
constexpr std::string_view servicesPath = "/v1/services/";

// Returns the text after "Bearer " in the Authorization header; empty if there is none.
std::string bearerToken(const Headers &headers);

// Returns the refusal for a request whose customer is not in this instance's configuration.
Refusal unknownCustomerRefusal(EntryState &state, const Exchange &exchange);

// Filters that every protocol can use. Checks the forward path.
std::unique_ptr<Filter> makeForwardPathFilter(EntryState &state);
// Selects the service by host and path, and sets pool, customer, fingerprint and prefix hash.
std::unique_ptr<Filter> makePathRuleFilter(EntryState &state);
// Sets the deadline from the caller's timeout and the service's deadline.
std::unique_ptr<Filter> makeTimeoutFilter();
// Sets the allowed regions.
std::unique_ptr<Filter> makeResidencyFilter(EntryState &state);
// Refuses quarantined requests.
std::unique_ptr<Filter> makeQuarantineFilter(EntryState &state);
// Applies the customer's usage cap, on the first instance of a request only. Must be the last
// filter, because it counts every request that passes.
std::unique_ptr<Filter> makeUsageFilter(EntryState &state);

// Returns the filters of the chat protocol: forward path, customer, service and body, deadline,
// residency, quarantine, booking key, usage cap.
std::vector<std::unique_ptr<Filter>> makeChatFilters(EntryState &state);

} // namespace ibisnotch
