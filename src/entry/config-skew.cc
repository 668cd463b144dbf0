#include "config-skew.h"

#include <fmt/format.h>

#include "ibisnotch/rules-digest.h"

namespace ibisnotch {

namespace {

std::uint64_t ownVersion(const Exchange &exchange)
{
    return exchange.table && exchange.table->config ? exchange.config().version : 0;
}

// Returns whether a newer configuration may allow what the request was refused for.
bool mayAllowLater(ResultCode code, const Exchange &exchange)
{
    // The instance that forwarded the request has found all of it allowed by a newer one.
    if (exchange.fromPeer && exchange.forwarderVersion > ownVersion(exchange))
        return isDecidedByConfig(code);
    return code == ResultCode::unknownService || code == ResultCode::unknownModel
        || code == ResultCode::bodyTooLarge || code == ResultCode::headTooLarge;
}

} // namespace

bool isDecidedByConfig(ResultCode code)
{
    switch (code) {
    case ResultCode::malformedRequest:
    case ResultCode::unknownCustomer:
    case ResultCode::unknownService:
    case ResultCode::unknownModel:
    case ResultCode::bodyTooLarge:
    case ResultCode::headTooLarge:
    case ResultCode::noSuchPath:
    case ResultCode::residencyForbids:
        return true;
    default:
        return false;
    }
}

bool mayBeOutdated(const EntryState &state, const Exchange &exchange)
{
    if (!exchange.fromPeer)
        return state.clock.now() > state.configValidUntil.load();
    // An instance of an earlier release doesn't say by which version it decided.
    return exchange.forwarderVersion == 0 || exchange.forwarderVersion > ownVersion(exchange);
}

Refusal configBehindRefusal(EntryState &state, std::string detail)
{
    return {ResultCode::configBehind, std::move(detail), jitteredRetryAfter(1, state.random)};
}

Refusal judgeRefusal(EntryState &state, const Exchange &exchange, Refusal refusal)
{
    if (!mayAllowLater(refusal.code, exchange) || !mayBeOutdated(state, exchange))
        return refusal;
    return configBehindRefusal(state,
                               fmt::format("{}:{}", resultInfo(refusal.code).name, refusal.detail));
}

std::optional<Refusal> checkSenderRules(EntryState &state, const Exchange &exchange)
{
    if (!exchange.fromPeer || exchange.forwarderVersion <= ownVersion(exchange))
        return std::nullopt;
    const std::string digest
        = rulesDigest(exchange.config(), *exchange.customer, *exchange.service);
    const auto sent = exchange.request.headers.get(rulesHeader);
    if (!sent || *sent == digest)
        return std::nullopt;
    return configBehindRefusal(state, "otherRules");
}

} // namespace ibisnotch
