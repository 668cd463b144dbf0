// One caller's request while this instance serves it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ibisnotch/booking.h"
#include "ibisnotch/config.h"
#include "ibisnotch/forward-path.h"
#include "ibisnotch/http-server.h"
#include "ibisnotch/server-table.h"
#include "trace.h"

namespace ibisnotch {

// A part of a prompt that other requests may share. The last part of a prompt is its own.
struct PromptPart
{
    std::uint64_t hash = 0;
    std::int64_t tokens = 0;
    bool operator==(const PromptPart &) const = default;
};

struct Prompt
{
    std::vector<PromptPart> parts; // in the order in which a server reads them
    std::int64_t tokens = 0;
    std::int64_t maxAnswerTokens = 0; // at most

    // All parts but the last, which is the request's own.
    std::int64_t sharedTokens() const
    {
        std::int64_t shared = 0;
        for (std::size_t i = 0; i + 1 < parts.size(); ++i)
            shared += parts[i].tokens;
        return shared;
    }
    bool operator==(const Prompt &) const = default;
};

struct Exchange
{
    HttpRequest request;
    std::shared_ptr<Responder> responder;
    bool fromPeer = false;

    std::string id;
    TimePoint arrived;
    TimePoint deadline;
    ForwardPath path; // before this instance
    // A booking whose right to send was taken by the instance that handed it on.
    bool sendRightAcquired = false;

    std::shared_ptr<const RoutingTable> table;
    const Customer *customer = nullptr; // of the table's configuration
    const Service *service = nullptr;
    std::string apiKey; // as the caller showed it
    std::optional<std::string> forwardedCustomer; // as a peer told it
    int earlierRuns = 0; // attempts that may have run before a peer handed the request on
    std::string host; // for services chosen by host and path
    std::optional<Duration> callerTimeout; // as the caller gave it
    Prompt prompt;
    int priority = 0; // 0 is most urgent
    std::optional<int> urgency; // for servers that order their queue; 0 is most urgent
    double usageCounted = 0; // against the customer's usage cap
    std::string pool; // of the service's pools, drawn once for all attempts
    bool streaming = false;
    std::string lastEventId; // of a resumed stream: the last one that its caller has
    std::vector<std::string> allowedRegions;
    std::optional<BookingKey> bookingKey;
    std::string bookingKeyText;
    std::string bodyHash;
    std::string fingerprint;
    std::uint64_t prefixHash = 0;

    Trace trace;

    const FleetConfig &config() const { return *table->config; }
    bool isBooking() const { return !service->idempotent; }
};

using ExchangePtr = std::shared_ptr<Exchange>;

// What load counts and retry budgets go by: the pool, or the service where there are no pools.
inline const std::string &loadName(const Exchange &exchange)
{
    return exchange.pool.empty() ? exchange.service->name : exchange.pool;
}

// What a caller is told in place of an answer.
struct Refusal
{
    ResultCode code = ResultCode::malformedRequest;
    std::string detail;
    Duration retryAfter{};
    bool operator==(const Refusal &) const = default;
};

void addTraceStep(Exchange &exchange, const Clock &clock, std::string description);

// Headers that every answer carries.
Headers resultHeaders(const std::string &requestId, ResultCode code, const std::string &servedBy);

HttpResponse refusalResponse(const std::string &requestId, const Refusal &refusal,
                             const std::string &servedBy);

} // namespace ibisnotch
