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

// Returns the refusal for a request whose customer is not in this instance's configuration. It is
// temporary if the configuration may be outdated.
Refusal unknownCustomerRefusal(EntryState &state, const Exchange &exchange);

// The following filters can be used with every protocol.

// Reads the forward path of a peer's request and refuses a loop.
std::unique_ptr<Filter> makeForwardPathFilter(EntryState &state);
// Selects the service by host and path, and sets pool, customer, fingerprint and prefix hash.
std::unique_ptr<Filter> makePathRuleFilter(EntryState &state);
// Sets the deadline from the caller's timeout and the service's deadline.
std::unique_ptr<Filter> makeTimeoutFilter();
// Sets the regions in which the request may run. Refuses it if there is none, or if a peer
// forwarded it to a region that is not allowed.
std::unique_ptr<Filter> makeResidencyFilter(EntryState &state);
// Refuses quarantined requests, and copies of a request whose quarantine trial is running. Bookings
// are checked later.
std::unique_ptr<Filter> makeQuarantineFilter(EntryState &state);
// Refuses prompts with a part that crashes backend servers.
std::unique_ptr<Filter> makeSuspectPartFilter(EntryState &state);
// Returns the refusal of a prompt with this part.
Refusal blockedPartRefusal(const BlockedPart &blocked);
// Applies the customer's usage cap, on the first instance of a request only. Must be the last
// filter, because it counts every request that passes.
std::unique_ptr<Filter> makeUsageFilter(EntryState &state);

// Returns the filters of the chat protocol: forward path, customer, service and body, deadline,
// residency, quarantine, booking key, usage cap.
std::vector<std::unique_ptr<Filter>> makeChatFilters(EntryState &state);

} // namespace ibisnotch
