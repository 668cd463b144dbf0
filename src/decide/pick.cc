#include "ibisnotch/pick.h"

#include <algorithm>

#include "ibisnotch/hash.h"
#include "ibisnotch/read-delay.h"
#include "ibisnotch/server-speed.h"
#include "ibisnotch/stream-statistics.h"

namespace ibisnotch {

namespace {

constexpr std::size_t prefixBytes = 512;

// Returns the part of the slots that would be taken with one more request.
double utilization(const Candidate &candidate)
{
    return (candidate.load + 1) / candidate.slots;
}

// Returns the read delay plus a penalty of a tenth of a second at full utilization, which decides
// by load between servers with the same delay. A slow server counts as one with fewer slots.
double expectedWaitSeconds(const Candidate &candidate)
{
    constexpr double secondsWhenFull = 0.1;
    return candidate.readDelaySeconds
        + secondsWhenFull * utilization(candidate) * candidate.slowdown;
}

// Returns the time that a request takes at an engine, and that it takes from those running there.
double totalSeconds(const EngineState &engine, const EngineWork &work)
{
    const EngineForecast result = forecast(engine, work);
    return result.endSeconds + result.harmSeconds;
}

bool isBetter(const Candidate &a, const Candidate &b, const PickInput &input)
{
    const double costA = input.weights.cost * a.view->server.cost * input.expectedSeconds;
    const double costB = input.weights.cost * b.view->server.cost * input.expectedSeconds;
    // A server with a free slot doesn't make a request wait, so cost decides between two of these.
    const bool bothFree = utilization(a) <= 1 && utilization(b) <= 1;
    if (bothFree && costA != costB)
        return costA < costB;
    if (input.comparesForecasts && a.engine && b.engine && a.engine->tokensPerMs > 0)
        return totalSeconds(*a.engine, input.work) < totalSeconds(*b.engine, input.work);
    return expectedWaitSeconds(a) < expectedWaitSeconds(b);
}

} // namespace

namespace {

template <typename Predicate>
std::vector<Candidate> selectCandidates(const RoutingTable &table, const Predicate &isWanted)
{
    std::vector<Candidate> usable;
    std::vector<Candidate> trials;
    for (const ServerView &view : table.servers) {
        if (!isWanted(view.server))
            continue;
        const Candidate candidate{&view, correctedLoad(view, table.trafficFactor),
                                  static_cast<double>(view.server.slots)};
        if (view.status == ServerStatus::usable)
            usable.push_back(candidate);
        else if (view.status == ServerStatus::trial && !view.counters->trialInProgress)
            trials.push_back(candidate);
    }
    // After its ejection a server gets one trial request. It is a candidate like the others instead
    // of being preferred, since most trials fail.
    usable.insert(usable.end(), trials.begin(), trials.end());
    return usable;
}

} // namespace

std::vector<Candidate> candidatesForService(const RoutingTable &table, const Service &service,
                                            const std::set<std::string> &tried,
                                            const std::string &pool)
{
    return selectCandidates(table, [&](const BackendServer &server) {
        return servesService(server, service) && tried.count(server.name) == 0
            && (pool.empty() || server.pool == pool);
    });
}

std::vector<Candidate> candidatesForPool(const RoutingTable &table, const std::string &pool)
{
    return selectCandidates(table,
                            [&](const BackendServer &server) { return server.pool == pool; });
}

namespace {

// Returns the mean over the engines for which it is known; 0 if there is none.
double meanMsPerWaitingRequest(const std::vector<Candidate> &candidates)
{
    double sum = 0;
    int knownCount = 0;
    for (const Candidate &candidate : candidates) {
        const double delay = candidate.view->counters->msPerWaitingRequest;
        sum += delay;
        knownCount += delay > 0 ? 1 : 0;
    }
    return sum / std::max(1, knownCount);
}

double bestTokensPerMs(const std::vector<Candidate> &candidates)
{
    double best = 0;
    for (const Candidate &candidate : candidates)
        best = std::max(best, candidate.view->counters->tokensPerMs.load());
    return best;
}

} // namespace

void addEngineEstimates(std::vector<Candidate> &candidates, double meanTokens, TimePoint now)
{
    const double rate = bestTokensPerMs(candidates);
    const double meanMs = meanMsPerWaitingRequest(candidates);
    const double promptMs = rate > 0 ? meanTokens / rate : 0;
    const double defaultMs = meanMs > 0 ? meanMs : promptMs;
    for (Candidate &candidate : candidates) {
        const ServerCounters &counters = *candidate.view->counters;
        const double ownMs = counters.msPerWaitingRequest;
        const Duration delay = readDelay(*candidate.view, ownMs > 0 ? ownMs : defaultMs);
        candidate.readDelaySeconds = std::chrono::duration<double>(delay).count();
        candidate.tokensPerMs = rate;
        candidate.eventIntervalSeconds = eventIntervalSeconds(counters, now);
    }
}

void addSlowdowns(std::vector<Candidate> &candidates, TimePoint now)
{
    for (Candidate &candidate : candidates)
        candidate.slowdown = slowdown(*candidate.view->counters, now);
}

void addEngineStates(std::vector<Candidate> &candidates, const EngineFacts &facts,
                     double meanTokens, double cacheTokens)
{
    constexpr double msPerSecond = 1000;
    for (Candidate &candidate : candidates) {
        const ServerCounters &counters = *candidate.view->counters;
        const int sentSince
            = std::min(counters.sentSinceReport.load(), counters.awaitingFirstToken.load());
        EngineState engine;
        engine.slots = candidate.slots;
        engine.waiting = candidate.view->waiting + std::max(0, sentSince);
        engine.running = std::max(0.0, candidate.load - engine.waiting);
        engine.tokensPerMs = candidate.tokensPerMs;
        // Measured delays include the shared parts of prompts that are read again.
        engine.unreadTokens
            = std::max(engine.waiting * meanTokens,
                       candidate.readDelaySeconds * msPerSecond * candidate.tokensPerMs);
        engine.usedTokens = engine.running * facts.heldTokens;
        engine.cacheTokens = cacheTokens;
        engine.eventSeconds = facts.eventSeconds;
        // The interval was measured on the machine as it is.
        const double recent = candidate.eventIntervalSeconds / candidate.slowdown;
        engine.recentEventSeconds = recent > 0 ? recent : facts.meanEventSeconds;
        engine.readingEventSeconds = facts.readingEventSeconds;
        engine.slowdown = candidate.slowdown;
        candidate.engine = engine;
        candidate.aheadSeconds = candidate.tokensPerMs > 0
            ? engine.unreadTokens / candidate.tokensPerMs / msPerSecond
            : 0;
    }
}

void removeCold(std::vector<Candidate> &candidates, TimePoint now)
{
    std::erase_if(candidates,
                  [now](const Candidate &candidate) { return now < candidate.view->coldUntil; });
}

void removeLimited(std::vector<Candidate> &candidates)
{
    std::erase_if(candidates,
                  [](const Candidate &candidate) { return candidate.view->requestLimit > 0; });
}

void removeResting(std::vector<Candidate> &candidates, TimePoint now)
{
    std::erase_if(candidates, [now](const Candidate &candidate) {
        return isResting(*candidate.view->counters, now);
    });
}

std::size_t RandomPicker::pick(const PickInput &input, Random &random)
{
    return random.below(input.candidates.size());
}

std::size_t RoundRobinPicker::pick(const PickInput &input, Random &)
{
    return m_next++ % input.candidates.size();
}

std::size_t LeastReportedPicker::pick(const PickInput &input, Random &)
{
    const auto least = std::min_element(input.candidates.begin(), input.candidates.end(),
                                        [](const Candidate &a, const Candidate &b) {
                                            return a.view->reportedLoad / a.slots
                                                < b.view->reportedLoad / b.slots;
                                        });
    return static_cast<std::size_t>(least - input.candidates.begin());
}

std::size_t TwoChoicesPicker::pick(const PickInput &input, Random &random)
{
    const std::size_t count = input.candidates.size();
    const std::size_t a = random.below(count);
    if (count == 1)
        return a;
    std::size_t b = random.below(count - 1);
    if (b >= a)
        ++b;
    return isBetter(input.candidates[b], input.candidates[a], input) ? b : a;
}

std::size_t AffinityPicker::pick(const PickInput &input, Random &random)
{
    if (input.prefixHash == 0)
        return m_fallback.pick(input, random);
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    for (std::size_t i = 0; i < input.candidates.size(); ++i) {
        const std::string &name = input.candidates[i].view->server.name;
        order.emplace_back(rendezvousWeight(name, input.prefixHash), i);
    }
    std::sort(order.rbegin(), order.rend());
    // The first two servers in the order may cache the prefix; a third copy would waste cache
    // memory. The second is used once the read delay of the first exceeds that of the second by the
    // time that all requests running there would lose while it reads the prefix. When only the
    // reading time was compared, the two alternated under load, and each read the prefix again
    // after evicting it.
    constexpr std::size_t holderCount = 2;
    std::optional<std::size_t> best;
    double bestWait = 0;
    for (std::size_t rank = 0; rank < std::min(holderCount, order.size()); ++rank) {
        const Candidate &candidate = input.candidates[order[rank].second];
        const double readSeconds = rank == 0 ? 0 : input.sharedReadSeconds * (1 + candidate.load);
        const double wait = candidate.readDelaySeconds + readSeconds;
        if (utilization(candidate) > m_bound || (best && wait >= bestWait))
            continue;
        best = order[rank].second;
        bestWait = wait;
    }
    if (best)
        return *best;
    // Requests that exceed the bound of both go to the next servers in the order, which is the same
    // for all instances. If they were distributed over a hundred servers, each of these would
    // have to read the prefix.
    constexpr std::size_t overflowCount = 4;
    const std::size_t fallback = m_fallback.pick(input, random);
    const double maxReadDelay
        = input.candidates[fallback].readDelaySeconds + input.sharedReadSeconds;
    for (std::size_t rank = holderCount; rank < std::min(holderCount + overflowCount, order.size());
         ++rank) {
        const Candidate &candidate = input.candidates[order[rank].second];
        if (utilization(candidate) <= m_bound && candidate.readDelaySeconds <= maxReadDelay)
            return order[rank].second;
    }
    return fallback;
}

std::string affinityRegion(const RoutingTable &table, std::span<const Candidate> localCandidates,
                           const std::string &localRegion, const std::string &pool,
                           const std::vector<std::string> &allowed, std::uint64_t prefix)
{
    std::string best;
    std::uint64_t bestWeight = 0;
    const auto consider = [&](const std::string &name, const std::string &region) {
        const std::uint64_t weight = rendezvousWeight(name, prefix);
        if (!best.empty() && weight <= bestWeight)
            return;
        best = region;
        bestWeight = weight;
    };
    for (const Candidate &candidate : localCandidates)
        consider(candidate.view->server.name, localRegion);
    for (const RemoteServer &server : table.remote) {
        if (server.pool == pool
            && std::find(allowed.begin(), allowed.end(), server.region) != allowed.end())
            consider(server.name, server.region);
    }
    return best;
}

std::uint64_t prefixHash(std::string_view customer, std::string_view service, std::string_view body)
{
    const std::uint64_t seed = hash64(service, hash64(customer));
    return hash64(body.substr(0, prefixBytes), seed);
}

} // namespace ibisnotch
