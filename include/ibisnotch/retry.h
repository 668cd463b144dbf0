// Whether a failed attempt may be followed by another.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "ibisnotch/clock.h"
#include "ibisnotch/result-code.h"

namespace ibisnotch {

// How one attempt at a backend server or a peer ended.
enum class AttemptOutcome {
    answered,
    notConnected, // certain: nothing was sent
    refusedNotRun, // certain: the other end says that it did not run the request
    otherServer, // certain: another server has the address now
    rejected, // a refusal that any other server would repeat
    connectionLost, // the connection ended after the request was sent
    silent, // no progress in time
    truncated, // the answer began and did not end as it should
    mismatched, // the answer belongs to another request
    serverError, // an answer of status 500 or above
    callerLeft, // nobody waits for the answer any more
};

// For logs and metrics.
std::string_view attemptOutcomeName(AttemptOutcome outcome);

// True where it is certain that the other end did not act on the request.
bool certainlyNotRun(AttemptOutcome outcome);

// Tokens that limit retries to a share of the requests, per customer and service. In an outage
// every request fails; without the budget each would be tried several times and the load on what
// is left of the fleet would be multiplied. Thread safe.
class RetryBudget
{
public:
    explicit RetryBudget(double burst = 5) : m_burst(burst) { }

    // What may be saved up, for a bound that all instances keep together, whoever the customer.
    // After this, a service begins with nothing saved: instances that restart together would else
    // spend it anew.
    void setBurst(double burst);

    void onRequest(const std::string &customer, const std::string &service, double retryShare);
    bool tryAcquire(const std::string &customer, const std::string &service);
    // Whether tryAcquire() would succeed now.
    bool canAcquire(const std::string &customer, const std::string &service);

private:
    double &tokens(const std::string &customer, const std::string &service);

    double m_burst;
    bool m_shared = false; // the burst is a part of a bound for all customers
    std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, double> m_tokens;
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
    Duration expected{}; // usual time of one run
};

enum class RetryDecision { retry, abandon };

// The rules that need no budget. Ask the budget only after RetryDecision::retry.
RetryDecision decideRetry(const RetryInput &input);

// What the caller is told when an attempt was the last.
ResultCode finalResultCode(AttemptOutcome outcome, bool idempotent, bool deadlineExpired);

} // namespace ibisnotch
