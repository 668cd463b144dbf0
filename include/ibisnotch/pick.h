// Which backend server of the region runs a request.
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "ibisnotch/random.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

struct Candidate
{
    const ServerView *view = nullptr;
    double load = 0; // corrected
    double slots = 1;
    // Model engines only:
    double readDelaySeconds = 0; // seconds before a prompt sent now is read
    double tokensPerMs = 0; // at which it reads; 0: not known
    double eventIntervalSeconds = 0; // between two events of a stream; 0: not known
};

// The servers that may run a request for a service, without those tried already. A pool, if named,
// leaves out the servers of the service's other pools.
std::vector<Candidate> candidatesForService(const RoutingTable &table, const Service &service,
                                            const std::set<std::string> &tried,
                                            const std::string &pool = {});

// Fills in how fast model engines read, how long a prompt sent now would wait, and how fast streams
// go. First tokens show a rate from below, so the best one of the pool counts for all its engines.
// An engine whose queue has shown no pace yet is taken for the average of those that have; without
// any, each that waits counts as a prompt of `meanTokens`.
void addEngineEstimates(std::vector<Candidate> &candidates, double meanTokens, TimePoint now);

// Leaves out servers that are cold: they bear a few requests a second, not what their slots say.
void removeCold(std::vector<Candidate> &candidates, TimePoint now);

// The servers of a pool that may run requests.
std::vector<Candidate> candidatesForPool(const RoutingTable &table, const std::string &pool);

struct PickInput
{
    std::span<const Candidate> candidates;
    // Requests with the same prefix share a cache entry; 0 for none.
    std::uint64_t prefix = 0;
    // Of the shared parts, which only the server of that prefix need not read.
    double sharedReadSeconds = 0;
    Weights weights;
    double expectedSeconds = 0.1;
};

class Picker
{
public:
    virtual ~Picker() = default;
    // The index of a candidate. The candidates must not be empty. Thread safe.
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

// The least load by the last report, uncorrected: the baseline that herds.
class LeastReportedPicker final : public Picker
{
public:
    std::size_t pick(const PickInput &input, Random &random) override;
};

// Two at random, the less loaded of them by the corrected load.
class TwoChoicesPicker final : public Picker
{
public:
    std::size_t pick(const PickInput &input, Random &random) override;
};

// The servers in the rendezvous order of the prefix, taken while their load stays within a bound;
// then two choices. Cost decides between servers of the same load.
class AffinityPicker final : public Picker
{
public:
    explicit AffinityPicker(double bound = 1.0) : m_bound(bound) { }
    std::size_t pick(const PickInput &input, Random &random) override;

private:
    double m_bound;
    TwoChoicesPicker m_fallback;
};

// The region of the server that a prefix falls to by rendezvous, among the candidates at home and
// the servers of a pool elsewhere. Empty if there is none.
std::string affinityRegion(const RoutingTable &table, std::span<const Candidate> home,
                           const std::string &homeRegion, const std::string &pool,
                           const std::vector<std::string> &allowed, std::uint64_t prefix);

// A hash of what requests with a common prefix share: the customer and the start of the body. The
// customer is part of it so that no partner can find out another's prompts by the time to the first
// token.
std::uint64_t prefixHash(std::string_view customer, std::string_view service,
                         std::string_view body);

} // namespace ibisnotch
