// A caller's request while this instance handles it, with everything that is known of it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "buffer-accounts.h"
#include "ibisnotch/booking.h"
#include "ibisnotch/config.h"
#include "ibisnotch/forward-path.h"
#include "ibisnotch/http-server.h"
#include "ibisnotch/prompt.h"
#include "ibisnotch/server-table.h"
#include "ibisnotch/stream-origin.h"
#include "trace.h"

namespace ibisnotch {

struct Exchange
{
    HttpRequest request;
    std::shared_ptr<Responder> responder;
    bool fromPeer = false;

    std::string id;
    TimePoint began; // its first byte, from which on its caller counts
    TimePoint arrived; // its last byte
    Duration unread{}; // from then until it was read
    TimePoint deadline;
    ForwardPath path; // the instances that forwarded the request to this one
    // Version of the configuration by which the last of them decided; 0 if it doesn't say so.
    std::uint64_t forwarderVersion = 0;
    // Whether the right to send a booking was acquired by the instance that forwarded it.
    bool sendRightAcquired = false;

    std::shared_ptr<const RoutingTable> table;
    const Customer *customer = nullptr; // points into the table's configuration
    const Service *service = nullptr; // points into the table's configuration
    std::string apiKey; // as sent by the caller
    std::optional<std::string> forwardedCustomer; // name of the customer, as sent by a peer
    int previousRuns = 0; // attempts of peers that may have run before they forwarded the request
    int previousAttempts = 0; // attempts at backend servers before the request was forwarded
    std::string host; // the Host header, for services selected by host and path
    std::optional<Duration> callerTimeout; // the timeout that the caller requested
    Prompt prompt;
    int priority = 0; // 0 is most urgent
    std::optional<int> urgency; // for servers that order their queue; 0 is most urgent
    double usageCounted = 0; // amount counted against the customer's usage cap
    std::string pool; // selected once for all attempts; empty if the service has no pools
    bool streaming = false; // whether the caller expects a stream
    std::string lastEventId; // the last event that the caller has received; empty if none
    // Id of the caller's attempt that brought the first event of the stream; empty if the caller
    // resumes a stream and doesn't name that attempt.
    std::string streamId;
    std::optional<StreamOrigin> origin; // empty if the stream hasn't begun or it is unknown
    OriginSource originSource = OriginSource::unknown;
    std::vector<std::string> allowedRegions; // by the residency rules
    std::optional<BookingKey> bookingKey;
    std::string bookingKeyText;
    std::string bodyHash;
    std::string fingerprint; // identifies copies of the same request, for the quarantine
    std::uint64_t prefixHash = 0; // of the prompt's shared part; 0 if it shares too little

    std::shared_ptr<SentBody> sentBody; // null if bytes held are not limited

    Trace trace;

    const FleetConfig &config() const { return *table->config; }
    bool isBooking() const { return !service->idempotent; }
};

using ExchangePtr = std::shared_ptr<Exchange>;

// Returns the name under which load and retry budgets are counted: the pool, or the service if it
// has no pools.
inline const std::string &loadKey(const Exchange &exchange)
{
    return exchange.pool.empty() ? exchange.service->name : exchange.pool;
}

// Returns the name of the instance that forwarded the request; "caller" if it came from its caller.
inline std::string senderName(const Exchange &exchange)
{
    return exchange.path.empty() ? "caller" : exchange.path.back().instance;
}

// Returns the version of the configuration that the sender of a request or response names in the
// header fields; 0 if it names none.
std::uint64_t readConfigVersion(const Headers &headers);

// The reason for which an instance refuses a request itself, and what it tells the caller about it.
struct Refusal
{
    ResultCode code = ResultCode::malformedRequest;
    std::string detail;
    Duration retryAfter{}; // time before the caller may retry; 0 if it should not retry
    bool operator==(const Refusal &) const = default;
};

// Returns the refusal of a stopping instance. Another instance accepts the request at once.
inline Refusal stoppingRefusal(std::string detail = {})
{
    constexpr Duration retryAfter = std::chrono::milliseconds(50);
    return {ResultCode::stopping, std::move(detail), retryAfter};
}

void addTraceStep(Exchange &exchange, const Clock &clock, std::string description);

// Returns the headers that every response carries.
Headers resultHeaders(const std::string &requestId, ResultCode code, const std::string &servedBy);

HttpResponse refusalResponse(const std::string &requestId, const Refusal &refusal,
                             const std::string &servedBy);

} // namespace ibisnotch
