// Bookings at most once: the forms of keys, claim pages in the store, and keys that an entry
// instance issues and serves from memory.
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

// A caller's own key: a UUID of version 7, which carries its time of birth.
struct CallerKey
{
    std::string text;
    WallTime createdAt;
    bool operator==(const CallerKey &) const = default;
};

// A key handed out by an entry instance: "ib1.<instance>.<incarnation>.<random>".
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

// For callers and tests.
std::string makeCallerKey(WallTime createdAt, Random &random);

// How far clocks of callers and instances may differ. Claims are kept this much longer than keys
// are accepted, on both sides.
constexpr Duration clockTolerance = std::chrono::minutes(5);

// True while a key that was created then may still start a booking.
bool isKeyAccepted(const CallerKey &key, WallTime now, Duration keyLifetime);

// The store key of the page that holds a claim: one set of pages per hour of birth, so that whole
// pages are dropped once no key of that hour can be accepted.
std::string claimPageName(const CallerKey &key, std::string_view claimId, int shards);

std::string claimPageNameFor(long long hour, int shard);

// The latest hour whose pages may be removed: none of its keys is accepted any more on any clock.
long long newestExpiredHour(WallTime now, Duration keyLifetime);

// Names a claim; the customer is part of it, so that no customer can meet another's key.
std::string claimId(std::string_view customer, std::string_view key);

enum class ClaimState { claimed, done, notRun };

struct Claim
{
    std::uint64_t attempt = 0; // one attempt's unique number
    std::string bodyHash;
    ClaimState state = ClaimState::claimed;
    int httpStatus = 0; // of the backend server's answer, once done
    bool operator==(const Claim &) const = default;
};

using ClaimPage = std::map<std::string, Claim>;

std::string serializeClaimPage(const ClaimPage &page);
absl::StatusOr<ClaimPage> parseClaimPage(std::string_view text);

// The store takes values up to a megabyte; a page stops taking new claims before that, with room
// left for the outcomes of those it holds.
constexpr std::size_t maxClaimPageBytes = 900'000;

// ---- The writer of one page ---------------------------------------------------------------------

// What became of a claim.
enum class ClaimOutcome {
    granted, // this attempt alone may send, once
    alreadyDone,
    unknown, // another attempt claimed and left no outcome
    bodyMismatch,
    pageFull,
    storeUnreachable, // nothing was sent and nothing will be
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
    std::uint64_t expectedIndex = 0; // 0: the page must not exist
    std::string value;
    bool operator==(const WritePage &) const = default;
};

using ClaimAction = std::variant<ReadPage, WritePage, ClaimResult>;

enum class PageWriteResult { applied, conflict, notApplied, unknown };

// Decides the store calls for one claim page on one instance. Claims and outcomes that arrive while
// a call is under way go together into the next write. Does no I/O; not thread safe.
class ClaimPageWriter
{
public:
    struct Request
    {
        std::uint64_t attempt = 0; // unique number of this attempt, drawn at random
        std::string claimId;
        std::string bodyHash;
        TimePoint deadline;
    };

    void claim(Request request);
    // Records what became of a granted attempt. Kept and tried again until the store takes it.
    void recordOutcome(std::uint64_t attempt, const std::string &claimId, ClaimState state,
                       int httpStatus);

    // Events. A read of a page that does not exist carries index 0 and an empty page.
    void onRead(std::uint64_t call, std::uint64_t index, const ClaimPage &page);
    void onReadFailed(std::uint64_t call, TimePoint now);
    void onWritten(std::uint64_t call, PageWriteResult end, std::uint64_t newIndex, TimePoint now);

    // Gives up what is overdue and starts the next call if one is due.
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
    bool m_pageKnown = false; // m_page is what the store held at m_index
    std::uint64_t m_index = 0;
    ClaimPage m_page;
    std::size_t m_pageBytes = 0;
    ClaimPage m_pageBeingWritten; // what the write under way would make of the page
    std::optional<std::uint64_t> m_call;
    std::uint64_t m_nextCall = 1;
    TimePoint m_nextCallAt{};
};

// ---- Keys issued by this instance ---------------------------------------------------------------

enum class IssuedKeyUse {
    send, // first use: send now
    repeat, // ran before: repeat its answer
    inProgress,
    unknown, // was sent, and its outcome is not known
    bodyMismatch,
    otherIssuer, // issued by another instance
    issuerGone, // issued by an earlier incarnation, or forgotten
};

// Keys this incarnation issued, from memory only: works without the store. Not thread safe.
class IssuedKeys
{
public:
    struct Limits
    {
        Duration lifetime = std::chrono::hours(1);
        std::size_t maxKeys = 100'000;
    };

    IssuedKeys(std::string instance, std::uint64_t incarnation, Limits limits);

    // Empty when too many keys are out.
    std::optional<std::string> issue(const std::string &customer, TimePoint now, Random &random);

    struct Decision
    {
        IssuedKeyUse use = IssuedKeyUse::issuerGone;
        int httpStatus = 0;
        std::string answer;
        bool operator==(const Decision &) const = default;
    };
    Decision begin(const IssuedKey &key, const std::string &customer, const std::string &bodyHash,
                   TimePoint now);

    // After a send: done with an answer, not run (the key may be used again), or neither.
    void finishDone(const std::string &key, int httpStatus, std::string answer);
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
        std::string answer;
    };

    void removeExpired(TimePoint now);

    std::string m_instance;
    std::uint64_t m_incarnation;
    Limits m_limits;
    std::map<std::string, Entry> m_keys;
    std::deque<std::pair<TimePoint, std::string>> m_issueOrder;
};

} // namespace ibisnotch
