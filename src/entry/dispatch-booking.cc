// Dispatch: acquires the right to send a booking and records the booking's outcome.
#include <algorithm>

#include <fmt/format.h>

#include "dispatch.h"

namespace ibisnotch {

namespace {

constexpr Duration claimTimeout = std::chrono::seconds(3);

} // namespace

void Dispatch::acquireSendRight()
{
    if (const auto *issued = std::get_if<IssuedKey>(&*m_exchange->bookingKey))
        return useIssuedKey(*issued);
    // The key is checked before admission. A refusal for load would report "not run" for a key
    // whose earlier request may have run, and the caller would book again with a new key.
    claimCallerKey(std::get<CallerKey>(*m_exchange->bookingKey));
}

void Dispatch::useIssuedKey(const IssuedKey &key)
{
    IssuedKeys::Decision decision;
    {
        const std::lock_guard lock(m_state.keysMutex);
        decision = m_state.issuedKeys.begin(key, m_exchange->customer->name, m_exchange->bodyHash,
                                            m_state.clock.now());
    }
    switch (decision.use) {
    case IssuedKeyUse::send:
        m_sendRight = SendRight::issuedKey;
        trace("issued key, first use");
        return route();
    case IssuedKeyUse::repeat: {
        trace("issued key, response repeated");
        HttpResponse response{
            decision.httpStatus,
            resultHeaders(m_exchange->id, ResultCode::bookingRepeated, servedBy({})),
            decision.responseBody};
        response.headers.add("Content-Type", "application/json");
        m_exchange->responder->reply(response);
        return finish(ResultCode::bookingRepeated);
    }
    case IssuedKeyUse::inProgress:
        return refuse({ResultCode::bookingInProgress, "", jitteredRetryAfter(1, m_state.random)});
    case IssuedKeyUse::unknown:
        return refuse({ResultCode::outcomeUnknown, "", {}});
    case IssuedKeyUse::bodyMismatch:
        return refuse({ResultCode::bookingKeyReused, "", {}});
    case IssuedKeyUse::issuerGone:
        return refuse({ResultCode::issuerGone, "", {}});
    case IssuedKeyUse::otherIssuer:
        return forwardToIssuer(key);
    }
}

void Dispatch::forwardToIssuer(const IssuedKey &key)
{
    const auto members = m_state.members.read();
    const auto found = std::find_if(members->begin(), members->end(), [&](const Member &member) {
        return member.name == key.instance && member.state != MemberState::dead
            && member.state != MemberState::left;
    });
    if (found == members->end())
        return refuse({ResultCode::issuerGone, "", {}});
    if (!canForwardTo(m_exchange->path, m_state.hop(), {found->name, found->region}))
        return refuse({ResultCode::loopRefused, "", {}});
    const auto &allowed = m_exchange->allowedRegions;
    if (std::find(allowed.begin(), allowed.end(), found->region) == allowed.end())
        return refuse({ResultCode::residencyForbids, "the key's issuer", {}});
    trace("forwarded to the issuer of its key, " + found->name);
    m_forwardedToIssuer = true;
    send(peerTarget(*found));
}

void Dispatch::claimCallerKey(const CallerKey &key)
{
    m_claimId = claimId(m_exchange->customer->name, key.text);
    m_claimPage = claimPageName(key, m_claimId, m_exchange->config().limits.bookingShards);
    m_claimAttempt = m_state.random.next();
    ClaimService::PageClaim pageClaim;
    pageClaim.page = m_claimPage;
    pageClaim.request = {m_claimAttempt, m_claimId, m_exchange->bodyHash,
                         m_state.clock.now() + std::min(claimTimeout, remaining())};
    m_claimService->claim(std::move(pageClaim),
                          [self = shared_from_this()](const ClaimResult &result) {
                              self->m_client.post([self, result] { self->onClaim(result); });
                          });
}

void Dispatch::onClaim(const ClaimResult &result)
{
    if (m_hasFinished) {
        m_sendRight = result.outcome == ClaimOutcome::granted ? SendRight::claim : m_sendRight;
        return settleNotRun();
    }
    switch (result.outcome) {
    case ClaimOutcome::granted:
        break;
    case ClaimOutcome::alreadyDone:
        return refuse({ResultCode::bookingRepeated,
                       fmt::format("its answer had status {}", result.httpStatus),
                       {}});
    case ClaimOutcome::unknown:
        return refuse({ResultCode::outcomeUnknown, "", {}});
    case ClaimOutcome::bodyMismatch:
        return refuse({ResultCode::bookingKeyReused, "", {}});
    case ClaimOutcome::pageFull:
        return refuse({ResultCode::claimPageFull, "", jitteredRetryAfter(60, m_state.random)});
    case ClaimOutcome::storeUnreachable:
        return refuse({ResultCode::storeUnreachable, "", jitteredRetryAfter(5, m_state.random)});
    }
    m_sendRight = SendRight::claim;
    trace("claim granted");
    // This process may have been paused since it checked the key's age. One more check after the
    // claim was granted is enough: the claim page of an expired key may be deleted, but no instance
    // accepts that key any more, so it cannot be claimed again.
    const auto &key = std::get<CallerKey>(*m_exchange->bookingKey);
    const Duration lifetime = m_exchange->config().limits.bookingKeyLifetime;
    if (!isKeyAccepted(key, m_state.clock.wallNow(), lifetime) || remaining().count() <= 0) {
        settleNotRun();
        return refuse({ResultCode::bookingNotRun, "", jitteredRetryAfter(1, m_state.random)});
    }
    route();
}

void Dispatch::settleDone(int status, const std::string &responseBody)
{
    if (m_sendRight == SendRight::claim)
        m_claimService->settle(m_claimPage, m_claimAttempt, m_claimId, ClaimState::done, status);
    if (m_sendRight == SendRight::issuedKey) {
        const std::lock_guard lock(m_state.keysMutex);
        m_state.issuedKeys.finishDone(m_exchange->bookingKeyText, status, responseBody);
    }
    m_sendRight = SendRight::notNeeded;
}

void Dispatch::settleNotRun()
{
    if (m_sendRight == SendRight::claim)
        m_claimService->settle(m_claimPage, m_claimAttempt, m_claimId, ClaimState::notRun, 0);
    if (m_sendRight == SendRight::issuedKey) {
        const std::lock_guard lock(m_state.keysMutex);
        m_state.issuedKeys.finishNotRun(m_exchange->bookingKeyText);
    }
    m_sendRight = SendRight::notNeeded;
}

void Dispatch::settleUnknown()
{
    // A claim without an outcome is already read as "unknown" by every instance.
    if (m_sendRight == SendRight::issuedKey) {
        const std::lock_guard lock(m_state.keysMutex);
        m_state.issuedKeys.finishUnknown(m_exchange->bookingKeyText);
    }
    m_sendRight = SendRight::notNeeded;
}

} // namespace ibisnotch
