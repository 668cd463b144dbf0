// Whether a request is taken or refused at once, before it costs anything.
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
    int priority = 1; // of the request; 0 is most urgent
    double slots = 0; // where it would run
    double outstanding = 0;
    double queueFactor = 2;
    double maxWorth = 0; // of any service; 0 leaves worth out
    bool lateIsUndelivered = false;
    Duration roundTrip{}; // to the region and back
    Duration remaining{}; // until the caller's deadline
    double promptReadDelaySeconds = 0; // seconds before a prompt sent now is read; 0: no prompt
    double eventIntervalSeconds
        = 0; // between two events of a stream where it would run; 0: not known
    double maxEventIntervalSeconds
        = 0; // the same, at which streams still end in time; 0: not known
    int lessUrgentServices = 0; // services that give way first while streams are too slow
    // Between 0 and 1, drawn once for a request: the lowest are turned away first, wherever it is
    // asked for.
    double rejectionDraw = 1;
};

struct AdmissionDecision
{
    ResultCode code = ResultCode::served; // served: taken
    Duration retryAfter{};
    bool operator==(const AdmissionDecision &) const = default;
};

// A caller refused for lack of capacity is told to come back when the work ahead is done, spread
// over as long again so that those refused together do not come back together.
Duration jitteredRetryAfter(double waitSeconds, Random &random);

// Counts what each customer has in flight here, and decides. Thread safe.
class Admission
{
public:
    AdmissionDecision decide(const AdmissionInput &input, Random &random);

    void onAdmitted(const std::string &customer, const std::string &service, double share);
    void onFinished(const std::string &customer, const std::string &service);

private:
    struct Usage
    {
        int inFlight = 0;
        double share = 1;
    };

    bool exceedsShare(const AdmissionInput &input);

    std::mutex m_mutex;
    std::map<std::string, std::map<std::string, Usage>> m_usage; // service, customer
};

} // namespace ibisnotch
