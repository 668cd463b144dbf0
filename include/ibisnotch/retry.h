// Decides whether another attempt follows a failed one, and limits the share of retries.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "ibisnotch/clock.h"
#include "ibisnotch/result-code.h"

namespace ibisnotch {

// How an attempt at a backend server or a peer ended.
enum class AttemptOutcome {
    answered,
    notConnected, // certainly not run: nothing was sent
    refusedNotRun, // certainly not run: the receiver reports that it didn't run the request
    otherServer, // certainly not run: another server uses the address now
    rejected, // certainly not run: any other server would reject the request too
    connectionLost, // the connection ended after the request was sent
    silent, // no progress within the time limit
    truncated, // the response began and is incomplete
    mismatched, // the response belongs to another request
    serverError, // the response has a status of 500 or above
    callerLeft, // the caller no longer waits for the response
    cutByStop, // the instance stops and can't wait for the response
};

// Returns the name used in logs and metrics.
std::string_view attemptOutcomeName(AttemptOutcome outcome);

// Why a response is not taken for the answer to its request.
enum class MismatchCause {
    none,
    otherRequest, // it names another request
    noRequest, // it names none
    unsignedSuccess, // a success without the server's signature
    encoded, // a success in an encoding that nobody asked for
    otherVersion, // a stream that doesn't continue at its software version
    malformedEvents,
};

// Returns the name used in logs and metrics.
std::string_view mismatchCauseName(MismatchCause cause);

// Returns whether the response may be the answer to another request on its connection.
bool isForeign(MismatchCause cause);

// Returns whether the receiver certainly didn't act on the request.
bool certainlyNotRun(AttemptOutcome outcome);

// A token bucket per customer and service that limits retries to a share of the requests. In an
// outage every request fails, and without a limit the retries would multiply the load on the
// remaining servers. Thread safe.
class RetryBudget
{
public:
    explicit RetryBudget(double burst = 5) : m_burst(burst) { }

    // Sets the maximum number of tokens to this instance's part of a limit for all instances and
    // customers together. From then on there is one bucket per service, and it starts empty, since
    // instances that restart together would otherwise exceed the limit.
    void setBurst(double burst);

    // Called for each new request; adds `retryShare` tokens.
    void onRequest(const std::string &customer, const std::string &service, double retryShare);
    // Acquires one token for a retry. Returns false if there is none.
    bool tryAcquire(const std::string &customer, const std::string &service);
    // Returns a token that was acquired for a retry that is not made after all.
    void release(const std::string &customer, const std::string &service);

private:
    // Returns the tokens of the bucket. m_mutex must be held.
    double &tokens(const std::string &customer, const std::string &service);

    double m_burst;
    bool m_shared = false; // one bucket for all customers; see setBurst()
    std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, double> m_tokens; // by customer and service
};

constexpr int maxAttempts = 3;

struct RetryInput
{
    AttemptOutcome outcome = AttemptOutcome::answered;
    bool idempotent = true;
    bool callerHasSeenBytes = false;
    int attemptsMade = 1;
    int runsMade = 0; // attempts that may have run
    int maxRuns = maxAttempts; // the service's limit
    Duration remaining{}; // until the caller's deadline
    Duration expected{}; // expected duration of one run
};

enum class RetryDecision { retry, abandon };

// Applies the rules that don't depend on the budget. The budget is used only after
// RetryDecision::retry.
RetryDecision decideRetry(const RetryInput &input);

// Returns the result code for the caller after the last attempt.
ResultCode finalResultCode(AttemptOutcome outcome, bool idempotent, bool deadlineExpired);

} // namespace ibisnotch
