#include "ibisnotch/booking.h"

#include <algorithm>
#include <charconv>

#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

constexpr std::string_view issuedPrefix = "ib1.";
constexpr std::size_t uuidLength = 36;
constexpr std::size_t uuidVersionIndex = 14;
constexpr std::size_t uuidVariantIndex = 19;
constexpr Duration storeRetryDelay = std::chrono::milliseconds(200);
constexpr std::size_t maxClaimBytes = 128; // upper bound of one serialized claim

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

bool isUuidFormat(std::string_view text)
{
    if (text.size() != uuidLength)
        return false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isDash = i == 8 || i == 13 || i == 18 || i == 23;
        if (isDash ? text[i] != '-' : !std::isxdigit(static_cast<unsigned char>(text[i])))
            return false;
    }
    return true;
}

std::optional<CallerKey> parseUuid7(std::string_view text)
{
    if (!isUuidFormat(text) || text[uuidVersionIndex] != '7')
        return std::nullopt;
    if (std::string_view("89abAB").find(text[uuidVariantIndex]) == std::string_view::npos)
        return std::nullopt;
    const std::string digits = std::string(text.substr(0, 8)) + std::string(text.substr(9, 4));
    const auto milliseconds = parseHex(digits);
    if (!milliseconds)
        return std::nullopt;
    // A UUID in upper case equals the same UUID in lower case and must not be a second booking.
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return CallerKey{lower, WallTime(std::chrono::milliseconds(*milliseconds))};
}

std::optional<IssuedKey> parseIssued(std::string_view text)
{
    constexpr std::size_t parts = 4;
    if (text.substr(0, issuedPrefix.size()) != issuedPrefix)
        return std::nullopt;
    const std::vector<std::string> fields
        = absl::StrSplit(absl::string_view(text.data(), text.size()), '.');
    if (fields.size() != parts || fields[1].empty())
        return std::nullopt;
    const auto incarnation = parseHex(fields[2]);
    if (!incarnation || !parseHex(fields[3]))
        return std::nullopt;
    return IssuedKey{std::string(text), fields[1], *incarnation};
}

long long hourOf(WallTime time)
{
    return std::chrono::floor<std::chrono::hours>(time.time_since_epoch()).count();
}

std::string_view claimStateLetter(ClaimState state)
{
    switch (state) {
    case ClaimState::claimed:
        return "c";
    case ClaimState::done:
        return "d";
    case ClaimState::notRun:
        return "n";
    }
    return "c";
}

ClaimState parseClaimState(std::string_view letter)
{
    if (letter == "d")
        return ClaimState::done;
    if (letter == "n")
        return ClaimState::notRun;
    return ClaimState::claimed;
}

} // namespace

absl::StatusOr<BookingKey> parseBookingKey(std::string_view text)
{
    if (auto issued = parseIssued(text))
        return BookingKey(*std::move(issued));
    if (auto uuid = parseUuid7(text))
        return BookingKey(*std::move(uuid));
    return makeStatus(ResultCode::bookingKeyForm, "the key is neither a UUIDv7 nor an issued key");
}

std::string makeCallerKey(WallTime createdAt, Random &random)
{
    const auto milliseconds = static_cast<std::uint64_t>(wallMilliseconds(createdAt));
    const std::uint64_t a = random.next();
    const std::uint64_t b = random.next();
    return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", (milliseconds >> 16) & 0xffffffffU,
                       milliseconds & 0xffffU, a & 0xfffU, 0x8000U | ((a >> 16) & 0x3fffU),
                       b & 0xffffffffffffULL);
}

bool isKeyAccepted(const CallerKey &key, WallTime now, Duration keyLifetime)
{
    return key.createdAt <= now + clockTolerance && now < key.createdAt + keyLifetime;
}

std::string claimPageName(const CallerKey &key, std::string_view claimId, int shards)
{
    const auto shard = hash64(claimId) % static_cast<std::uint64_t>(shards);
    return claimPageNameFor(hourOf(key.createdAt), static_cast<int>(shard));
}

std::string claimPageNameFor(long long hour, int shard)
{
    return fmt::format("ibisnotch/claims/{}/{}", hour, shard);
}

long long newestExpiredHour(WallTime now, Duration keyLifetime)
{
    // The last key of an hour is created at its end.
    return hourOf(now - keyLifetime - 2 * clockTolerance) - 1;
}

std::string claimId(std::string_view customer, std::string_view key)
{
    return hash128Hex(customer, key);
}

std::string serializeClaimPage(const ClaimPage &page)
{
    nlohmann::json claims = nlohmann::json::object();
    for (const auto &[id, claim] : page)
        claims[id]
            = {claim.attempt, claim.bodyHash, claimStateLetter(claim.state), claim.httpStatus};
    return nlohmann::json{{"claims", claims}}.dump();
}

absl::StatusOr<ClaimPage> parseClaimPage(std::string_view text)
{
    try {
        ClaimPage page;
        const auto json = nlohmann::json::parse(text);
        for (const auto &[id, fields] : json.at("claims").items())
            page[id] = {fields.at(0), fields.at(1),
                        parseClaimState(fields.at(2).get<std::string>()), fields.at(3)};
        return page;
    } catch (const nlohmann::json::exception &error) {
        return absl::InvalidArgumentError(fmt::format("malformed claim page: {}", error.what()));
    }
}

void ClaimPageWriter::claim(Request request)
{
    m_claims.push_back(std::move(request));
}

void ClaimPageWriter::recordOutcome(std::uint64_t attempt, const std::string &claimId,
                                    ClaimState state, int httpStatus)
{
    m_pendingOutcomes.push_back({attempt, claimId, state, httpStatus});
}

void ClaimPageWriter::onRead(std::uint64_t call, std::uint64_t index, const ClaimPage &page)
{
    if (call != m_call)
        return;
    m_call.reset();
    m_pageKnown = true;
    m_index = index;
    m_page = page;
}

void ClaimPageWriter::onReadFailed(std::uint64_t call, TimePoint now)
{
    if (call != m_call)
        return;
    m_call.reset();
    backOff(now);
}

void ClaimPageWriter::onWritten(std::uint64_t call, PageWriteResult end, std::uint64_t newIndex,
                                TimePoint now)
{
    if (call != m_call)
        return;
    m_call.reset();
    switch (end) {
    case PageWriteResult::applied:
        m_page = m_pageBeingWritten;
        m_index = newIndex;
        dropStoredOutcomes();
        return;
    case PageWriteResult::conflict:
        m_pageKnown = false;
        return;
    case PageWriteResult::notApplied:
        backOff(now);
        return;
    case PageWriteResult::unknown:
        // The write may have been applied although its response was lost, or may be applied later.
        // The page is read back, and the attempt number on it decides. If the write is applied
        // after that read, the next compare-and-swap fails and the page is read again.
        m_pageKnown = false;
        backOff(now);
        return;
    }
}

void ClaimPageWriter::backOff(TimePoint now)
{
    m_nextCallAt = now + storeRetryDelay;
}

std::vector<ClaimAction> ClaimPageWriter::advance(TimePoint now)
{
    std::vector<ClaimAction> actions;
    if (!m_call && m_pageKnown)
        decideClaims(actions);
    expireOverdueClaims(now, actions);
    const bool hasWork = !m_claims.empty() || !m_pendingOutcomes.empty();
    if (!m_call && hasWork && now >= m_nextCallAt)
        startCall(actions);
    return actions;
}

std::optional<ClaimResult> ClaimPageWriter::resultFor(const Request &request) const
{
    const auto found = m_page.find(request.claimId);
    if (found == m_page.end())
        return std::nullopt;
    const Claim &claim = found->second;
    if (claim.attempt == request.attempt)
        return ClaimResult{request.attempt, ClaimOutcome::granted, 0};
    if (claim.bodyHash != request.bodyHash)
        return ClaimResult{request.attempt, ClaimOutcome::bodyMismatch, 0};
    if (claim.state == ClaimState::done)
        return ClaimResult{request.attempt, ClaimOutcome::alreadyDone, claim.httpStatus};
    if (claim.state == ClaimState::claimed)
        return ClaimResult{request.attempt, ClaimOutcome::unknown, 0};
    return std::nullopt;
}

void ClaimPageWriter::decideClaims(std::vector<ClaimAction> &actions)
{
    std::deque<Request> remaining;
    for (Request &request : m_claims) {
        if (const auto result = resultFor(request))
            actions.emplace_back(*result);
        else
            remaining.push_back(std::move(request));
    }
    m_claims = std::move(remaining);
}

void ClaimPageWriter::expireOverdueClaims(TimePoint now, std::vector<ClaimAction> &actions)
{
    std::deque<Request> remaining;
    for (Request &request : m_claims) {
        if (now < request.deadline) {
            remaining.push_back(std::move(request));
            continue;
        }
        actions.emplace_back(ClaimResult{request.attempt, ClaimOutcome::storeUnreachable, 0});
        // A pending write of this claim may still be applied. The attempt has ended and never
        // sends, so it is recorded as not run; otherwise the key would be answered with "outcome
        // unknown" for a day.
        m_pendingOutcomes.push_back({request.attempt, request.claimId, ClaimState::notRun, 0});
    }
    m_claims = std::move(remaining);
}

bool ClaimPageWriter::applyClaim(const Request &request, ClaimPage &page)
{
    if (page.size() * maxClaimBytes >= maxClaimPageBytes)
        return false;
    page[request.claimId] = {request.attempt, request.bodyHash, ClaimState::claimed, 0};
    return true;
}

bool ClaimPageWriter::applyOutcomes(ClaimPage &page)
{
    bool changed = false;
    for (const PendingOutcome &outcome : m_pendingOutcomes) {
        const auto found = page.find(outcome.claimId);
        if (found == page.end() || found->second.attempt != outcome.attempt)
            continue;
        if (found->second.state != ClaimState::claimed)
            continue;
        found->second.state = outcome.state;
        found->second.httpStatus = outcome.httpStatus;
        changed = true;
    }
    return changed;
}

void ClaimPageWriter::dropStoredOutcomes()
{
    std::deque<PendingOutcome> remaining;
    for (PendingOutcome &outcome : m_pendingOutcomes) {
        const auto found = m_page.find(outcome.claimId);
        const bool isUnrecorded = found != m_page.end() && found->second.attempt == outcome.attempt
            && found->second.state == ClaimState::claimed;
        if (isUnrecorded)
            remaining.push_back(std::move(outcome));
    }
    m_pendingOutcomes = std::move(remaining);
}

void ClaimPageWriter::startCall(std::vector<ClaimAction> &actions)
{
    if (!m_pageKnown) {
        m_call = m_nextCall++;
        actions.emplace_back(ReadPage{*m_call});
        return;
    }
    m_pageBeingWritten = m_page;
    bool changed = applyOutcomes(m_pageBeingWritten);
    std::deque<Request> remaining;
    for (Request &request : m_claims) {
        // Of two requests with the same key in one batch, the first one claims the key.
        if (m_pageBeingWritten.count(request.claimId) > 0
            && m_pageBeingWritten[request.claimId].state != ClaimState::notRun) {
            remaining.push_back(std::move(request));
            continue;
        }
        if (!applyClaim(request, m_pageBeingWritten)) {
            actions.emplace_back(ClaimResult{request.attempt, ClaimOutcome::pageFull, 0});
            continue;
        }
        changed = true;
        remaining.push_back(std::move(request));
    }
    m_claims = std::move(remaining);
    if (!changed) {
        dropStoredOutcomes();
        return;
    }
    m_call = m_nextCall++;
    actions.emplace_back(WritePage{*m_call, m_index, serializeClaimPage(m_pageBeingWritten)});
}

IssuedKeys::IssuedKeys(std::string instance, std::uint64_t incarnation, Limits limits)
    : m_instance(std::move(instance)), m_incarnation(incarnation), m_limits(limits)
{
}

std::optional<std::string> IssuedKeys::issue(const std::string &customer, TimePoint now,
                                             Random &random)
{
    removeExpired(now);
    if (m_keys.size() >= m_limits.maxKeys)
        return std::nullopt;
    std::string key
        = fmt::format("{}{}.{:x}.{:016x}", issuedPrefix, m_instance, m_incarnation, random.next());
    m_keys[key] = {customer, "", now, State::unused, 0, ""};
    m_issueOrder.emplace_back(now, key);
    return key;
}

void IssuedKeys::removeExpired(TimePoint now)
{
    while (!m_issueOrder.empty() && m_issueOrder.front().first + m_limits.lifetime <= now) {
        const auto found = m_keys.find(m_issueOrder.front().second);
        // The entry of a request that is being sent is kept, as its outcome is still to be
        // recorded.
        if (found != m_keys.end() && found->second.state == State::sending) {
            m_issueOrder.emplace_back(now, m_issueOrder.front().second);
            m_issueOrder.pop_front();
            return;
        }
        if (found != m_keys.end())
            m_keys.erase(found);
        m_issueOrder.pop_front();
    }
}

IssuedKeys::Decision IssuedKeys::begin(const IssuedKey &key, const std::string &customer,
                                       const std::string &bodyHash, TimePoint now)
{
    if (key.instance != m_instance)
        return {IssuedKeyUse::otherIssuer, 0, ""};
    removeExpired(now);
    const auto found = m_keys.find(key.text);
    if (key.incarnation != m_incarnation || found == m_keys.end()
        || found->second.customer != customer)
        return {IssuedKeyUse::issuerGone, 0, ""};
    Entry &entry = found->second;
    if (entry.state != State::unused && entry.bodyHash != bodyHash)
        return {IssuedKeyUse::bodyMismatch, 0, ""};
    switch (entry.state) {
    case State::unused:
        entry.state = State::sending;
        entry.bodyHash = bodyHash;
        return {IssuedKeyUse::send, 0, ""};
    case State::sending:
        return {IssuedKeyUse::inProgress, 0, ""};
    case State::done:
        return {IssuedKeyUse::repeat, entry.httpStatus, entry.responseBody};
    case State::unknown:
        return {IssuedKeyUse::unknown, 0, ""};
    }
    return {IssuedKeyUse::unknown, 0, ""};
}

void IssuedKeys::finishDone(const std::string &key, int httpStatus, std::string responseBody)
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end())
        return;
    found->second.state = State::done;
    found->second.httpStatus = httpStatus;
    found->second.responseBody = std::move(responseBody);
}

void IssuedKeys::finishNotRun(const std::string &key)
{
    const auto found = m_keys.find(key);
    if (found != m_keys.end())
        found->second.state = State::unused;
}

void IssuedKeys::finishUnknown(const std::string &key)
{
    const auto found = m_keys.find(key);
    if (found != m_keys.end())
        found->second.state = State::unknown;
}

} // namespace ibisnotch
