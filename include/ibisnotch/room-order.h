// Decides who goes first when a region has too little room for all requests: customers above their
// share give way first, then less urgent requests.
#pragma once

#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/config.h"
#include "ibisnotch/random.h"
#include "ibisnotch/result-code.h"

namespace ibisnotch {

// Load of the region in which a request would run.
struct Room
{
    double slots = 0;
    double outstanding = 0; // requests running and waiting
    double queueFactor = 2; // outstanding per slot at which all requests are refused
    double queueSeconds = 0; // wait for a slot
    // Time until the first token of a prompt sent now, without the network; 0 without a prompt.
    double firstTokenSeconds = 0;
    double eventIntervalSeconds = 0; // between two events of a stream; 0 if unknown
    // Event interval up to which streams end before their deadlines; 0 if unknown.
    double maxEventIntervalSeconds = 0;
    bool operator==(const Room &) const = default;
};

// Requests of one priority that compete for the room of a region.
struct CompetingClass
{
    int priority = 0; // 0 is the most urgent
    double requestsPerSecond = 0;
    double workPerSecond = 0;
    double targetSeconds = 0; // shortest target for the first token; 0 if there is none
    bool operator==(const CompetingClass &) const = default;
};

// What a customer asks for at all instances, and the part of the room that belongs to it.
struct CustomerClaim
{
    double workPerSecond = 0;
    double share = 1; // weight among all customers
    bool operator==(const CustomerClaim &) const = default;
};

// Returns the shares of all customers by name. One without a usage cap has at least the mean share
// of those with one, since shares may follow from the caps.
std::map<std::string, double> roomShares(const std::map<std::string, Customer> &customers);

struct RoomRequest
{
    int priority = 0;
    double targetSeconds = 0; // for the first token; 0 if there is none
    double roundTripSeconds = 0; // network delay to the region and back
    double expectedSeconds = 0; // duration of a run that doesn't wait
    bool lateIsUndelivered = false; // a late response has no value to the caller
    double remainingSeconds = 0; // until the caller's deadline
    double deadlineSeconds = 0; // from arrival, for a caller that has not waited
    bool admittedElsewhere = false; // by the instance that forwarded it
    // Random number between 0 and 1, drawn once per request, so that several decisions about a
    // request agree.
    double draw = 1;
    bool operator==(const RoomRequest &) const = default;
};

// Why a request was refused.
enum class RoomCause { none, noSlots, deadline, reading, streams, queue, customerShare };

std::string_view roomCauseName(RoomCause cause);

struct RoomInput
{
    Room room;
    RoomRequest request;
    std::vector<CompetingClass> classes; // in the region, without order; may be empty
    std::vector<CustomerClaim> customers; // that compete for the pool; may be empty
    CustomerClaim own; // of the request's customer; one of `customers`
    double secondsUntilRoom = 0; // by the trend; 0 if it shows no end
    bool operator==(const RoomInput &) const = default;
};

struct RoomDecision
{
    RoomCause cause = RoomCause::none;
    Duration retryAfter{};
    double pressure = 0; // 1: nearly all must be refused; 0: nobody
    double refusedPart = 0; // probability with which the request was refused
    bool operator==(const RoomDecision &) const = default;
};

// Returns the result code that tells a caller of the cause.
ResultCode codeOf(RoomCause cause);

// Returns the part of all work that a region has to refuse, from 0 to below 1.
double roomShortage(const RoomInput &input);

// Returns the part of a customer's work that must be refused so that `missing`, a part of the work
// of all, is refused in total. The rest is divided max-min fairly by the shares: what a customer
// doesn't ask for goes to the others.
double refusedPartOfCustomer(std::span<const CustomerClaim> customers, const CustomerClaim &own,
                             double missing);

// Returns the part of a class to refuse if `missing` of the work of all classes is refused and the
// less urgent classes give way first, each by at most `largestPart`.
double refusedPartOfClass(std::span<const CompetingClass> classes, int priority, double missing,
                          double largestPart);

RoomDecision decideRoom(const RoomInput &input, Random &random);

// Measures, at one instance, which classes of requests compete in each region, and how the shortage
// there changes. Thread safe.
class RoomHistory
{
public:
    void onRequest(const std::string &region, const std::string &pool, const RoomRequest &request,
                   double work, TimePoint now);
    std::vector<CompetingClass> classes(const std::string &region, const std::string &pool,
                                        TimePoint now) const;
    // Records the shortage of a region for requests of a priority, and returns the time until it
    // ends at the present trend; 0 if it doesn't decrease.
    double secondsUntilRoom(const std::string &region, const std::string &pool, int priority,
                            double pressure, TimePoint now);

private:
    struct ClassRate
    {
        double requestsPerSecond = 0;
        double workPerSecond = 0;
        double targetSeconds = 0;
        TimePoint at{};
    };
    struct Trend
    {
        double fast = 0; // averages of the pressure
        double slow = 0;
        TimePoint at{};
    };
    struct Place
    {
        std::map<int, ClassRate> classes; // by priority
        std::map<int, Trend> trends; // by priority
    };

    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, Place> m_places; // by region and pool
};

} // namespace ibisnotch
