// Filters of protocols that select a service by host and path.
#include <algorithm>

#include "filters.h"
#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

// A model engine reads this many tokens in about 25 ms. Reading them again costs less than sending
// all requests that share them to one server.
constexpr std::int64_t minSharedTokens = 1000;

class PathRuleFilter final : public Filter
{
public:
    explicit PathRuleFilter(EntryState &state) : m_state(state) { }

    std::optional<Refusal> apply(Exchange &exchange) override
    {
        const FleetConfig &config = exchange.config();
        const HttpRequest &request = exchange.request;
        exchange.service = findServiceByPath(config, exchange.host, request.path);
        if (exchange.service == nullptr)
            return Refusal{ResultCode::unknownService, "", {}};
        exchange.trace.service = exchange.service->name;
        exchange.customer = customerOf(exchange);
        if (exchange.customer == nullptr)
            return unknownCustomerRefusal(m_state, exchange);
        exchange.priority = requestPriority(*exchange.customer, *exchange.service);
        exchange.trace.customer = exchange.customer->name;
        if (request.body.size() > static_cast<std::size_t>(config.limits.maxBodyBytes))
            return Refusal{ResultCode::bodyTooLarge, "", {}};
        exchange.pool = selectPool(*exchange.service, m_state.random.uniform());
        exchange.streaming = exchange.service->isStreaming;
        if (exchange.prompt.tokens > 0)
            exchange.urgency = urgencyOf(exchange);
        exchange.prefixHash = hashSharedParts(exchange.prompt);
        exchange.fingerprint
            = hash128Hex(exchange.host + request.path, request.query, request.body.text());
        return std::nullopt;
    }

private:
    // Returns null if the key is unknown, or if there is none and the service requires one.
    static const Customer *customerOf(const Exchange &exchange)
    {
        const FleetConfig &config = exchange.config();
        const auto findByName = [&config](const std::string &name) {
            const auto found = config.customers.find(name);
            return found == config.customers.end() ? nullptr : &found->second;
        };
        if (exchange.forwardedCustomer)
            return exchange.forwardedCustomer->empty() ? nullptr
                                                       : findByName(*exchange.forwardedCustomer);
        const Customer *owner = exchange.apiKey.empty() || exchange.fromPeer || !config.requiresKeys
            ? nullptr
            : findCustomerByKey(config, exchange.apiKey);
        if (owner == nullptr && (exchange.service->allowsAnonymous || !config.requiresKeys))
            return findByName(std::string(anonymousCustomerName));
        return owner;
    }

    // Engines admit the most urgent prompts first, so that short prompts of an urgent service don't
    // wait behind long prompts of another one. In the worst seconds of a peak, this raises the
    // delivered share of the requests' worth from 0.48 to 0.53. Engines have 10 levels of urgency
    // and use 5 by default.
    static int urgencyOf(const Exchange &exchange)
    {
        constexpr int mostUrgent = 3;
        constexpr int perPriority = 2;
        constexpr int leastUrgent = 9;
        const bool byCustomer = exchange.customer->priority.has_value();
        const int urgency
            = byCustomer ? exchange.priority : mostUrgent + perPriority * exchange.priority;
        return std::min(leastUrgent, urgency);
    }

    // Returns the hash of all parts but the last, which is specific to the request; 0 if they have
    // too few tokens.
    static std::uint64_t hashSharedParts(const Prompt &prompt)
    {
        if (prompt.sharedTokens() < minSharedTokens)
            return 0;
        std::uint64_t hash = 0;
        for (const PromptPart &part : prompt.sharedParts())
            hash = hash64(std::to_string(part.hash), hash);
        return hash;
    }

    EntryState &m_state;
};

class TimeoutFilter final : public Filter
{
public:
    std::optional<Refusal> apply(Exchange &exchange) override
    {
        const Duration timeout = exchange.service->deadline;
        const Duration callerTimeout = exchange.callerTimeout.value_or(timeout);
        if (std::min(timeout, callerTimeout).count() <= 0)
            return Refusal{ResultCode::deadlinePassed, "", {}};
        // The route's time is for what follows the upload.
        exchange.deadline = exchange.arrived + timeout;
        if (exchange.callerTimeout)
            exchange.deadline = std::min(exchange.deadline, exchange.began + callerTimeout);
        return std::nullopt;
    }
};

} // namespace

std::unique_ptr<Filter> makePathRuleFilter(EntryState &state)
{
    return std::make_unique<PathRuleFilter>(state);
}

std::unique_ptr<Filter> makeTimeoutFilter()
{
    return std::make_unique<TimeoutFilter>();
}

} // namespace ibisnotch
