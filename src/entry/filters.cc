#include "filters.h"

#include <algorithm>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <fmt/format.h>

#include "config-skew.h"
#include "ibisnotch/chat-request.h"
#include "ibisnotch/hash.h"
#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

// Ignores the forward path of a caller's request, which may be forged.
class ForwardPathFilter final : public Filter
{
public:
    explicit ForwardPathFilter(EntryState &state) : m_state(state) { }

    std::optional<Refusal> apply(Exchange &exchange) override
    {
        if (!exchange.fromPeer)
            return std::nullopt;
        const auto text = exchange.request.headers.get(forwardPathHeader);
        if (!text)
            return Refusal{ResultCode::malformedRequest, "no forward path", {}};
        const auto path = parseForwardPath(*text);
        if (!path.ok())
            return Refusal{resultCodeOf(path.status()), std::string(path.status().message()), {}};
        const auto checked = checkForwardPath(*path, m_state.hop());
        if (!checked.ok())
            return Refusal{resultCodeOf(checked), std::string(checked.message()), {}};
        exchange.path = *path;
        if (!readCount(exchange, runsHeader, exchange.previousRuns))
            return Refusal{ResultCode::malformedRequest, std::string(runsHeader), {}};
        if (!readCount(exchange, attemptsHeader, exchange.previousAttempts))
            return Refusal{ResultCode::malformedRequest, std::string(attemptsHeader), {}};
        exchange.forwarderVersion = readConfigVersion(exchange.request.headers);
        return std::nullopt;
    }

private:
    // Returns false if the header doesn't hold a count. A missing header counts as 0.
    static bool readCount(const Exchange &exchange, std::string_view name, int &count)
    {
        const std::string text = exchange.request.headers.get(name).value_or("0");
        return absl::SimpleAtoi(text, &count) && count >= 0;
    }

    EntryState &m_state;
};

class CustomerFilter final : public Filter
{
public:
    explicit CustomerFilter(EntryState &state) : m_state(state) { }

    std::optional<Refusal> apply(Exchange &exchange) override
    {
        const std::string token = bearerToken(exchange.request.headers);
        if (token.empty() && !exchange.fromPeer)
            return Refusal{ResultCode::unknownCustomer, "no bearer token", {}};
        exchange.customer = exchange.fromPeer ? findForwardedCustomer(exchange)
                                              : findCustomerByKey(exchange.config(), token);
        if (exchange.customer == nullptr)
            return unknownCustomerRefusal(m_state, exchange);
        exchange.trace.customer = exchange.customer->name;
        return std::nullopt;
    }

private:
    static const Customer *findForwardedCustomer(const Exchange &exchange)
    {
        const auto &customers = exchange.config().customers;
        const auto found
            = customers.find(exchange.request.headers.get(customerHeader).value_or(""));
        return found == customers.end() ? nullptr : &found->second;
    }

    EntryState &m_state;
};

class ServiceFilter final : public Filter
{
public:
    std::optional<Refusal> apply(Exchange &exchange) override
    {
        const auto limit = static_cast<std::size_t>(exchange.config().limits.maxBodyBytes);
        if (exchange.request.body.size() > limit)
            return Refusal{ResultCode::bodyTooLarge, "limit " + std::to_string(limit), {}};
        const auto refusal = exchange.request.path == chatPath ? readChatRequest(exchange)
                                                               : findApplicationService(exchange);
        if (refusal)
            return refusal;
        exchange.trace.service = exchange.service->name;
        exchange.priority = requestPriority(*exchange.customer, *exchange.service);
        const HttpRequest &request = exchange.request;
        const std::string &customer = exchange.customer->name;
        exchange.fingerprint
            = requestFingerprint(customer, exchange.service->name, request.body.text());
        if (exchange.service->kind == ServiceKind::model)
            exchange.prefixHash = prefixHash(customer, exchange.service->name, request.body.text());
        const auto &allowed = exchange.customer->services;
        const bool permitted = allowed.empty()
            || std::find(allowed.begin(), allowed.end(), exchange.service->name) != allowed.end();
        if (!permitted)
            return Refusal{ResultCode::unknownService, "not a service of this customer", {}};
        return std::nullopt;
    }

private:
    static std::optional<Refusal> readChatRequest(Exchange &exchange)
    {
        if (exchange.request.method != "POST")
            return Refusal{ResultCode::noSuchPath, "POST expected", {}};
        const auto request = parseChatRequest(exchange.request.body.text());
        if (!request.ok())
            return Refusal{
                ResultCode::malformedRequest, std::string(request.status().message()), {}};
        exchange.streaming = request->isStreaming;
        return findModelService(exchange, request->model);
    }

    static std::optional<Refusal> findModelService(Exchange &exchange, const std::string &model)
    {
        const auto wanted = exchange.request.headers.get("X-Service");
        bool modelKnown = false;
        for (const auto &[name, service] : exchange.config().services) {
            if (service.kind != ServiceKind::model || service.model != model)
                continue;
            modelKnown = true;
            if (wanted && *wanted != name)
                continue;
            exchange.service = &service;
            return std::nullopt;
        }
        if (!modelKnown)
            return Refusal{ResultCode::unknownModel, "", {}};
        return Refusal{ResultCode::unknownService, "no such service for this model", {}};
    }

    static std::optional<Refusal> findApplicationService(Exchange &exchange)
    {
        const std::string name = exchange.request.path.substr(servicesPath.size());
        const auto found = exchange.config().services.find(name);
        const bool known = found != exchange.config().services.end()
            && found->second.kind == ServiceKind::application;
        if (!known)
            return Refusal{ResultCode::unknownService, "", {}};
        if (exchange.request.method != found->second.method)
            return Refusal{ResultCode::malformedRequest, found->second.method + " expected", {}};
        exchange.service = &found->second;
        return std::nullopt;
    }
};

class DeadlineFilter final : public Filter
{
public:
    explicit DeadlineFilter(EntryState &state) : m_state(state) { }

    std::optional<Refusal> apply(Exchange &exchange) override
    {
        exchange.deadline = exchange.arrived + exchange.service->deadline;
        if (const auto text = exchange.request.headers.get("X-Request-Timeout-Ms")) {
            const auto given = parseMilliseconds(*text);
            if (!given)
                return Refusal{ResultCode::malformedRequest, "X-Request-Timeout-Ms", {}};
            exchange.deadline = std::min(exchange.deadline, exchange.began + *given);
            if (given->count() <= 0)
                return Refusal{ResultCode::deadlinePassed, "", {}};
        }
        if (const auto text = exchange.request.headers.get("X-Request-Deadline")) {
            const auto given = parseMilliseconds(*text);
            if (!given)
                return Refusal{ResultCode::malformedRequest, "X-Request-Deadline", {}};
            const Duration now(m_state.clock.wallNow().time_since_epoch());
            exchange.deadline = std::min(exchange.deadline, m_state.clock.now() + (*given - now));
            if (*given <= now)
                return Refusal{ResultCode::deadlinePassed, "", {}};
        }
        return std::nullopt;
    }

private:
    static std::optional<Duration> parseMilliseconds(const std::string &text)
    {
        constexpr long long maxMilliseconds = 1LL << 50;
        long long value = 0;
        if (!absl::SimpleAtoi(text, &value) || value > maxMilliseconds || value < -maxMilliseconds)
            return std::nullopt;
        return Duration(std::chrono::milliseconds(value));
    }

    EntryState &m_state;
};

// The forwarding instance checks residency as well, but may have another version of the rules.
class ResidencyFilter final : public Filter
{
public:
    explicit ResidencyFilter(EntryState &state) : m_state(state) { }

    std::optional<Refusal> apply(Exchange &exchange) override
    {
        exchange.allowedRegions
            = allowedRegions(exchange.config(), *exchange.customer, *exchange.service);
        const auto &allowed = exchange.allowedRegions;
        const bool localAllowed
            = std::find(allowed.begin(), allowed.end(), m_state.settings.region) != allowed.end();
        if (allowed.empty() || (exchange.fromPeer && !localAllowed))
            return Refusal{ResultCode::residencyForbids, "", {}};
        return std::nullopt;
    }

private:
    EntryState &m_state;
};

class QuarantineFilter final : public Filter
{
public:
    explicit QuarantineFilter(EntryState &state) : m_state(state) { }

    std::optional<Refusal> apply(Exchange &exchange) override
    {
        // A booking is checked after its key, which may already have an outcome; see
        // Dispatch::send().
        if (exchange.isBooking())
            return std::nullopt;
        const std::lock_guard lock(m_state.quarantineMutex);
        const auto decision = m_state.quarantine.check(exchange.fingerprint, m_state.clock.now());
        switch (decision) {
        case QuarantineDecision::clear:
        case QuarantineDecision::trial:
            return std::nullopt;
        case QuarantineDecision::held:
            return Refusal{ResultCode::heldForTrial, "", jitteredRetryAfter(2, m_state.random)};
        case QuarantineDecision::quarantined:
            return Refusal{ResultCode::quarantined, "", {}};
        }
        return std::nullopt;
    }

private:
    EntryState &m_state;
};

class SuspectPartFilter final : public Filter
{
public:
    explicit SuspectPartFilter(EntryState &state) : m_state(state) { }

    std::optional<Refusal> apply(Exchange &exchange) override
    {
        const auto blocked
            = m_state.suspects.findBlocked(loadKey(exchange), exchange.prompt, m_state.clock.now());
        if (!blocked)
            return std::nullopt;
        return blockedPartRefusal(*blocked);
    }

private:
    EntryState &m_state;
};

class UsageFilter final : public Filter
{
public:
    explicit UsageFilter(EntryState &state) : m_state(state) { }

    std::optional<Refusal> apply(Exchange &exchange) override
    {
        const Customer &customer = *exchange.customer;
        if (exchange.fromPeer || !customer.usageCap)
            return std::nullopt;
        const double amount = amountOf(exchange.prompt, *customer.usageCap);
        const UsageDecision decision = m_state.usageCaps.admit(
            customer, amount, m_state.random.uniform(), m_state.clock.now());
        if (!decision.fits)
            return Refusal{ResultCode::usageCapReached, reasonText(decision, customer),
                           jitteredRetryAfter(seconds(decision.retryAfter), m_state.random)};
        exchange.usageCounted = amount;
        return std::nullopt;
    }

private:
    static double amountOf(const Prompt &prompt, const UsageCap &cap)
    {
        if (!cap.countsTokens)
            return 1;
        const std::int64_t countedTokens = prompt.tokens + prompt.maxAnswerTokens;
        return countedTokens > 0 ? static_cast<double>(countedTokens) : cap.plainTokens;
    }

    static std::string reasonText(const UsageDecision &decision, const Customer &customer)
    {
        return fmt::format(
            "asked:{:.0f},limit:{:.0f},cap:{:.0f},level:{:.0f},age:{}", decision.requested,
            decision.limit, customer.usageCap->perSecond, decision.level,
            decision.regionUsageAge ? millisecondsText(*decision.regionUsageAge) : "alone");
    }

    EntryState &m_state;
};

class BookingKeyFilter final : public Filter
{
public:
    explicit BookingKeyFilter(EntryState &state) : m_state(state) { }

    std::optional<Refusal> apply(Exchange &exchange) override
    {
        if (!exchange.isBooking())
            return std::nullopt;
        const auto text = exchange.request.headers.get("Idempotency-Key");
        if (!text || text->empty())
            return Refusal{ResultCode::bookingKeyMissing, "", {}};
        const auto key = parseBookingKey(*text);
        if (!key.ok())
            return Refusal{resultCodeOf(key.status()), std::string(key.status().message()), {}};
        const auto *callerKey = std::get_if<CallerKey>(&*key);
        const Duration lifetime = exchange.config().limits.bookingKeyLifetime;
        if (callerKey != nullptr && !isKeyAccepted(*callerKey, m_state.clock.wallNow(), lifetime))
            return Refusal{ResultCode::bookingKeyForm, "the key's time is not accepted", {}};
        exchange.bookingKey = *key;
        exchange.bookingKeyText = callerKey != nullptr ? callerKey->text : *text;
        exchange.bodyHash = hash128Hex(exchange.service->name, exchange.request.query,
                                       exchange.request.body.text());
        exchange.sendRightAcquired = isSendRightAcquired(exchange);
        return std::nullopt;
    }

private:
    // The right to send is accepted only on the port for peers, and only from the instance that
    // acquired it, which must be the last one in the forward path.
    static bool isSendRightAcquired(const Exchange &exchange)
    {
        const auto by = exchange.request.headers.get("X-Ibisnotch-Cleared-By");
        return exchange.fromPeer && by && !exchange.path.empty()
            && exchange.path.back().instance == *by;
    }

    EntryState &m_state;
};

} // namespace

std::string bearerToken(const Headers &headers)
{
    const std::string field = headers.get("Authorization").value_or("");
    absl::string_view token = field;
    if (!absl::ConsumePrefix(&token, "Bearer "))
        return {};
    return std::string(token);
}

Refusal unknownCustomerRefusal(EntryState &state, const Exchange &exchange)
{
    if (mayBeOutdated(state, exchange))
        return configBehindRefusal(state);
    return {ResultCode::unknownCustomer, "unknown key", {}};
}

std::unique_ptr<Filter> makeForwardPathFilter(EntryState &state)
{
    return std::make_unique<ForwardPathFilter>(state);
}

std::unique_ptr<Filter> makeResidencyFilter(EntryState &state)
{
    return std::make_unique<ResidencyFilter>(state);
}

std::unique_ptr<Filter> makeQuarantineFilter(EntryState &state)
{
    return std::make_unique<QuarantineFilter>(state);
}

std::unique_ptr<Filter> makeSuspectPartFilter(EntryState &state)
{
    return std::make_unique<SuspectPartFilter>(state);
}

Refusal blockedPartRefusal(const BlockedPart &blocked)
{
    return {ResultCode::promptPartBlocked,
            fmt::format("part:{},age:{}", blocked.suspect.name, millisecondsText(blocked.age)),
            blocked.remaining};
}

std::unique_ptr<Filter> makeUsageFilter(EntryState &state)
{
    return std::make_unique<UsageFilter>(state);
}

std::vector<std::unique_ptr<Filter>> makeChatFilters(EntryState &state)
{
    std::vector<std::unique_ptr<Filter>> filters;
    filters.push_back(std::make_unique<ForwardPathFilter>(state));
    filters.push_back(std::make_unique<CustomerFilter>(state));
    filters.push_back(std::make_unique<ServiceFilter>());
    filters.push_back(std::make_unique<DeadlineFilter>(state));
    filters.push_back(std::make_unique<ResidencyFilter>(state));
    filters.push_back(std::make_unique<QuarantineFilter>(state));
    filters.push_back(std::make_unique<BookingKeyFilter>(state));
    filters.push_back(std::make_unique<UsageFilter>(state));
    return filters;
}

} // namespace ibisnotch
