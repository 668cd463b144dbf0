// Policies that pick the backend server of the region to which a request is sent.
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "ibisnotch/engine-forecast.h"
#include "ibisnotch/engine-statistics.h"
#include "ibisnotch/random.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// A backend server that may run the request.
struct Candidate
{
    const ServerView *view = nullptr;
    double load = 0; // see correctedLoad()
    double slots = 1;

    // Set by addEngineEstimates() for model engines only.
    double readDelaySeconds = 0; // time until the engine begins to read a prompt sent now
    double tokensPerMs = 0; // rate at which it reads prompts; 0 if unknown
    double eventIntervalSeconds = 0; // between two events of a stream; 0 if unknown

    // Set by addSlowdowns() and addEngineStates().
    double slowdown = 1; // factor by which work takes longer there now
    std::optional<EngineState> engine = std::nullopt; // of a model engine
    double aheadSeconds = 0; // in which the engine reads the prompts that were sent to it before
};

// Returns the servers that may run a request for the service, except those in `tried`. If `pool`
// isn't empty, only servers of that pool are returned.
std::vector<Candidate> candidatesForService(const RoutingTable &table, const Service &service,
                                            const std::set<std::string> &tried,
                                            const std::string &pool = {});

// Sets the reading rate, read delay and event interval of model engines. First tokens give a lower
// bound of the reading rate, so the highest rate of all candidates is used for each of them. An
// engine without a measured delay per waiting request gets the mean of the others; if none is
// measured, each waiting request counts as a prompt of `meanTokens`.
void addEngineEstimates(std::vector<Candidate> &candidates, double meanTokens, TimePoint now);

// Sets the slowdown of each server.
void addSlowdowns(std::vector<Candidate> &candidates, TimePoint now);

// Sets the state of model engines, after addEngineEstimates() and addSlowdowns(). `cacheTokens` is
// the memory of each engine of the pool.
void addEngineStates(std::vector<Candidate> &candidates, const EngineFacts &facts,
                     double meanTokens, double cacheTokens);

// Removes cold servers. They handle only a few requests per second, whatever their number of slots.
void removeCold(std::vector<Candidate> &candidates, TimePoint now);

// Removes servers that named a limit, for the same reason.
void removeLimited(std::vector<Candidate> &candidates);

// Removes servers that rest. Until their rest ends they are no capacity of this instance.
void removeResting(std::vector<Candidate> &candidates, TimePoint now);

// Returns the servers of a pool that may run requests.
std::vector<Candidate> candidatesForPool(const RoutingTable &table, const std::string &pool);

struct PickInput
{
    std::span<const Candidate> candidates; // must not be empty
    // Requests with the same hash share an entry of the prompt cache; 0 if there is none.
    std::uint64_t prefixHash = 0;
    // Time in which a server reads the shared prefix if it isn't in its cache.
    double sharedReadSeconds = 0;
    EngineWork work; // for model engines
    bool comparesForecasts = false; // engines are compared by what they would do with the work
    Weights weights;
    double expectedSeconds = 0.1; // expected duration of the request
};

class Picker
{
public:
    virtual ~Picker() = default;
    // Returns the index of a candidate. Thread safe.
    virtual std::size_t pick(const PickInput &input, Random &random) = 0;
};

class RandomPicker final : public Picker
{
public:
    std::size_t pick(const PickInput &input, Random &random) override;
};

class RoundRobinPicker final : public Picker
{
public:
    std::size_t pick(const PickInput &input, Random &random) override;

private:
    std::atomic<std::size_t> m_next = 0;
};

// Picks the lowest load of the last reports without correction, so between two reports all requests
// go to the same server. Serves as a baseline in experiments.
class LeastReportedPicker final : public Picker
{
public:
    std::size_t pick(const PickInput &input, Random &random) override;
};

// Picks the better of two random candidates by wait, corrected load and cost.
class TwoChoicesPicker final : public Picker
{
public:
    std::size_t pick(const PickInput &input, Random &random) override;
};

// Picks among the first servers in the rendezvous order of the prefix hash whose utilization is
// within a bound, else as TwoChoicesPicker does.
class AffinityPicker final : public Picker
{
public:
    explicit AffinityPicker(double bound = 1.0) : m_bound(bound) { }
    std::size_t pick(const PickInput &input, Random &random) override;

private:
    double m_bound; // maximum utilization; 1 if all slots are taken
    TwoChoicesPicker m_fallback;
};

// Returns the region of the server that is first in the rendezvous order of the prefix hash, among
// the local candidates and the servers of the pool in other allowed regions. Empty if there is
// none.
std::string affinityRegion(const RoutingTable &table, std::span<const Candidate> localCandidates,
                           const std::string &localRegion, const std::string &pool,
                           const std::vector<std::string> &allowed, std::uint64_t prefix);

// Returns a hash of the customer, the service and the start of the body. It includes the customer
// so that no customer can detect the prompts of another by the time to the first token.
std::uint64_t prefixHash(std::string_view customer, std::string_view service,
                         std::string_view body);

} // namespace ibisnotch
