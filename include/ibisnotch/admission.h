// Admission control: decides whether a request is accepted, or rejected before any work is done for
// it.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "ibisnotch/clock.h"
#include "ibisnotch/config.h"
#include "ibisnotch/random.h"
#include "ibisnotch/region-choice.h"
#include "ibisnotch/result-code.h"

namespace ibisnotch {

struct AdmissionInput
{
    const Customer *customer = nullptr;
    const Service *service = nullptr;
    int priority = 1; // of the request; 0 is the most urgent
    double slots = 0; // in the region in which the request would run
    double outstanding = 0; // requests running and waiting there
    double queueFactor = 2; // outstanding per slot up to which the most urgent are accepted
    double maxWorth = 0; // highest worth of any service; 0 if worth is ignored
    bool lateIsUndelivered = false; // a late response has no value to the caller
    Duration roundTrip{}; // network delay to that region and back
    Duration remaining{}; // until the caller's deadline
    // Time until an engine there begins to read a prompt sent now; 0 if the request has no prompt.
    double promptReadDelaySeconds = 0;
    double eventIntervalSeconds = 0; // between two events of a stream there; 0 if unknown
    // Event interval up to which streams there end before their deadlines; 0 if unknown.
    double maxEventIntervalSeconds = 0;
    int lessUrgentServices = 0; // services rejected before this one while streams are too slow
    // Random number between 0 and 1. Requests with the lowest numbers are rejected first. It is
    // drawn once per request, so that several decisions about a request agree.
    double rejectionDraw = 1;
};

struct AdmissionDecision
{
    ResultCode code = ResultCode::served; // served if the request is accepted
    Duration retryAfter{};
    bool operator==(const AdmissionDecision &) const = default;
};

// Returns the time after which a rejected caller should retry: the wait, limited to a range, plus
// up to as much random jitter, so that callers rejected together don't retry together.
Duration jitteredRetryAfter(double waitSeconds, Random &random);

// Counts the requests in flight of each customer at this instance and decides about new ones.
// Thread safe.
class Admission
{
public:
    AdmissionDecision decide(const AdmissionInput &input, Random &random);

    // Called when a request is accepted; `share` is the customer's share of a full service.
    void onAdmitted(const std::string &customer, const std::string &service, double share);
    // Called when an accepted request has finished.
    void onFinished(const std::string &customer, const std::string &service);

private:
    struct Usage
    {
        int inFlight = 0;
        double share = 1;
    };

    // Returns whether one more request would exceed the customer's share of the requests in flight.
    bool exceedsShare(const AdmissionInput &input);

    std::mutex m_mutex;
    std::map<std::string, std::map<std::string, Usage>> m_usage; // by service and customer
};

} // namespace ibisnotch
