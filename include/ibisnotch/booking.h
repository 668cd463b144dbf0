// At-most-once bookings: the formats of booking keys, the claim pages in the store, and keys that
// an entry instance issues and tracks in memory.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "ibisnotch/clock.h"
#include "ibisnotch/random.h"
#include "ibisnotch/result-code.h"

namespace ibisnotch {

// A key made by the caller: a UUID of version 7, which contains its creation time.
struct CallerKey
{
    std::string text;
    WallTime createdAt;
    bool operator==(const CallerKey &) const = default;
};

// A key issued by an entry instance: "ib1.<instance>.<incarnation>.<random>".
struct IssuedKey
{
    std::string text;
    std::string instance;
    std::uint64_t incarnation = 0;
    bool operator==(const IssuedKey &) const = default;
};

using BookingKey = std::variant<CallerKey, IssuedKey>;

// Fails with ResultCode::bookingKeyForm.
absl::StatusOr<BookingKey> parseBookingKey(std::string_view text);

// Returns a new caller key. Used by callers and tests.
std::string makeCallerKey(WallTime createdAt, Random &random);

// Largest difference between the clocks of callers and instances. A key is accepted up to this long
// before its creation time, and claims are kept for twice as long after it has expired.
constexpr Duration clockTolerance = std::chrono::minutes(5);

// Returns true while the key may start a booking.
bool isKeyAccepted(const CallerKey &key, WallTime now, Duration keyLifetime);

// Returns the store key of the page that holds the claim. Each hour of key creation has its own set
// of pages, so that whole pages can be removed once no key of that hour is accepted any more.
std::string claimPageName(const CallerKey &key, std::string_view claimId, int shards);

std::string claimPageNameFor(long long hour, int shard);

// Returns the latest hour whose pages may be removed. Its keys are no longer accepted by any
// instance whose clock is within the tolerance.
long long newestExpiredHour(WallTime now, Duration keyLifetime);

// Returns the name of a claim. It includes the customer, so that equal keys of two customers are
// separate bookings.
std::string claimId(std::string_view customer, std::string_view key);

enum class ClaimState { claimed, done, notRun };

struct Claim
{
    std::uint64_t attempt = 0; // unique number of the attempt that holds the claim
    std::string bodyHash;
    ClaimState state = ClaimState::claimed;
    int httpStatus = 0; // of the backend server's response, once `done`
    bool operator==(const Claim &) const = default;
};

using ClaimPage = std::map<std::string, Claim>;

std::string serializeClaimPage(const ClaimPage &page);
absl::StatusOr<ClaimPage> parseClaimPage(std::string_view text);

// The store accepts values of up to 1 MB. A page accepts no new claims beyond this size, which
// leaves room to record the outcomes of its claims.
constexpr std::size_t maxClaimPageBytes = 900'000;

// ---- The writer of one page ---------------------------------------------------------------------

enum class ClaimOutcome {
    granted, // only this attempt may send the request, once
    alreadyDone,
    unknown, // another attempt holds the claim and has recorded no outcome
    bodyMismatch, // the key was used with another request body
    pageFull,
    storeUnreachable, // this attempt has not sent the request and never will
};

struct ClaimResult
{
    std::uint64_t attempt = 0;
    ClaimOutcome outcome = ClaimOutcome::storeUnreachable;
    int httpStatus = 0;
    bool operator==(const ClaimResult &) const = default;
};

struct ReadPage
{
    std::uint64_t call = 0;
    bool operator==(const ReadPage &) const = default;
};

struct WritePage
{
    std::uint64_t call = 0;
    std::uint64_t expectedIndex = 0; // for compare-and-swap; 0 if the page must not exist
    std::string value;
    bool operator==(const WritePage &) const = default;
};

using ClaimAction = std::variant<ReadPage, WritePage, ClaimResult>;

enum class PageWriteResult { applied, conflict, notApplied, unknown };

// Decides the store calls for one claim page on one instance. Claims and outcomes that arrive while
// a call is pending are combined into the next write. Does no I/O; not thread safe.
class ClaimPageWriter
{
public:
    struct Request
    {
        std::uint64_t attempt = 0; // unique random number of this attempt
        std::string claimId;
        std::string bodyHash;
        TimePoint deadline;
    };

    void claim(Request request);
    // Records the outcome of a granted attempt, and retries until it is stored.
    void recordOutcome(std::uint64_t attempt, const std::string &claimId, ClaimState state,
                       int httpStatus);

    // Called with the result of a store call. A page that does not exist is read as an empty page
    // with index 0.
    void onRead(std::uint64_t call, std::uint64_t index, const ClaimPage &page);
    void onReadFailed(std::uint64_t call, TimePoint now);
    void onWritten(std::uint64_t call, PageWriteResult end, std::uint64_t newIndex, TimePoint now);

    // Ends overdue claims and returns the next store call, if any, and the results of claims.
    std::vector<ClaimAction> advance(TimePoint now);

    bool isIdle() const { return m_claims.empty() && m_pendingOutcomes.empty() && !m_call; }
    std::size_t pendingOutcomes() const { return m_pendingOutcomes.size(); }

private:
    struct PendingOutcome
    {
        std::uint64_t attempt = 0;
        std::string claimId;
        ClaimState state = ClaimState::done;
        int httpStatus = 0;
    };

    void decideClaims(std::vector<ClaimAction> &actions);
    void expireOverdueClaims(TimePoint now, std::vector<ClaimAction> &actions);
    bool applyClaim(const Request &request, ClaimPage &page);
    bool applyOutcomes(ClaimPage &page);
    void dropStoredOutcomes();
    std::optional<ClaimResult> resultFor(const Request &request) const;
    void startCall(std::vector<ClaimAction> &actions);
    void backOff(TimePoint now);

    std::deque<Request> m_claims;
    std::deque<PendingOutcome> m_pendingOutcomes;
    bool m_pageKnown = false; // whether m_page is the content of the store at m_index
    std::uint64_t m_index = 0;
    ClaimPage m_page;
    std::size_t m_pageBytes = 0;
    ClaimPage m_pageBeingWritten; // content of the page once the pending write is applied
    std::optional<std::uint64_t> m_call;
    std::uint64_t m_nextCall = 1;
    TimePoint m_nextCallAt{};
};

// ---- Keys issued by this instance ---------------------------------------------------------------

enum class IssuedKeyUse {
    send, // first use: send the request
    repeat, // the booking is done: return its recorded response
    inProgress,
    unknown, // the request was sent and its outcome is not known
    bodyMismatch, // the key was used with another request body
    otherIssuer, // issued by another instance
    issuerGone, // issued by an earlier incarnation of this instance, or expired
};

// Keys issued by this incarnation of the instance. Kept in memory only, so that bookings with
// issued keys need no store. Not thread safe.
class IssuedKeys
{
public:
    struct Limits
    {
        Duration lifetime = std::chrono::hours(1);
        std::size_t maxKeys = 100'000;
    };

    IssuedKeys(std::string instance, std::uint64_t incarnation, Limits limits);

    // Returns a new key, or nothing if `maxKeys` unexpired keys have been issued.
    std::optional<std::string> issue(const std::string &customer, TimePoint now, Random &random);

    struct Decision
    {
        IssuedKeyUse use = IssuedKeyUse::issuerGone;
        int httpStatus = 0;
        std::string responseBody;
        bool operator==(const Decision &) const = default;
    };
    Decision begin(const IssuedKey &key, const std::string &customer, const std::string &bodyHash,
                   TimePoint now);

    // Called after the request has been sent: with its response, if it certainly did not run (the
    // key may then be used again), or if its outcome is unknown.
    void finishDone(const std::string &key, int httpStatus, std::string responseBody);
    void finishNotRun(const std::string &key);
    void finishUnknown(const std::string &key);

    std::size_t size() const { return m_keys.size(); }

private:
    enum class State { unused, sending, done, unknown };
    struct Entry
    {
        std::string customer;
        std::string bodyHash;
        TimePoint issued;
        State state = State::unused;
        int httpStatus = 0;
        std::string responseBody;
    };

    void removeExpired(TimePoint now);

    std::string m_instance;
    std::uint64_t m_incarnation;
    Limits m_limits;
    std::map<std::string, Entry> m_keys;
    std::deque<std::pair<TimePoint, std::string>> m_issueOrder;
};

} // namespace ibisnotch
