#include "ibisnotch/weighing-picker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace ibisnotch {

namespace {

constexpr std::size_t noRank = std::numeric_limits<std::size_t>::max();
// Servers behind the holders in a part's order that are weighed too, so that all instances that
// leave the holders come to the same ones.
constexpr std::size_t followerCount = 4;
// Probability that such a server keeps the part, in relation to the one before it.
constexpr double followShare = 0.35;
// Least probability that a holder keeps the part, if it has as much room as the others. Where all
// engines are short of memory, a copy elsewhere would last no longer, and make another part yield.
constexpr double holderShare = 0.9;
constexpr double secondsPerRank = 0.002;
// Of more holders only this many are compared: if all instances compared all, they would send to
// the same one until its next report.
constexpr std::size_t maxHoldersCompared = 6;
constexpr std::size_t randomCount = 2;
// Time after which a part may have gone even if nothing is known of the memory.
constexpr double maxTurnoverSeconds = 60;
constexpr double usesPerCopy = 16;

std::uint64_t mixed(std::uint64_t value)
{
    // The finalizer of SplitMix64.
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

double roomOf(const WeighingInput &input, std::size_t index)
{
    const EngineState &engine = input.servers[index].engine;
    const double room = std::max(0.0, engine.cacheTokens - engine.usedTokens);
    return room * input.beliefs->servers[index].roomFactor;
}

// Returns the time in which a server's room for parts is filled anew.
double turnoverSeconds(const WeighingInput &input, std::size_t index)
{
    const double rate = input.beliefs->tokensPerSecond;
    const bool isKnown = input.servers[index].engine.cacheTokens > 0 && rate > 0;
    const double turnover
        = isKnown ? std::min(roomOf(input, index) / rate, maxTurnoverSeconds) : maxTurnoverSeconds;
    const TimePoint emptyAt = input.beliefs->servers[index].emptyAt;
    if (emptyAt == TimePoint{})
        return turnover;
    return std::min(turnover, std::max(0.0, seconds(input.now - emptyAt)));
}

// The servers that should keep one part, as all instances agree.
struct PartOrder
{
    std::size_t holders = 1;
    std::vector<std::size_t> servers; // holders and followers
    std::vector<std::size_t> ranks; // of all servers; noRank if not in `servers`
};

PartOrder orderFor(const WeighingInput &input, std::size_t part, double meanTurnover)
{
    using Weight = std::pair<std::uint64_t, std::size_t>;
    const std::size_t count = input.servers.size();
    PartOrder order;
    order.holders = holderCount(input.beliefs->parts[part].requestsPerSecond, meanTurnover, count);
    std::vector<Weight> weights;
    weights.reserve(count);
    const std::uint64_t key = mixed(input.sharedParts[part].hash);
    for (std::size_t i = 0; i < count; ++i)
        weights.emplace_back(mixed(key ^ input.servers[i].server), i);
    const std::size_t taken = std::min(count, order.holders + followerCount);
    const auto holdersEnd = weights.begin() + static_cast<std::ptrdiff_t>(order.holders);
    const auto takenEnd = weights.begin() + static_cast<std::ptrdiff_t>(taken);
    // Many holders need no order among themselves, as only some of them are compared.
    const bool areSorted = order.holders <= maxHoldersCompared;
    if (!areSorted && order.holders < count)
        std::nth_element(weights.begin(), holdersEnd, weights.end(), std::greater<>());
    std::partial_sort(areSorted ? weights.begin() : holdersEnd, takenEnd, weights.end(),
                      std::greater<>());
    order.ranks.assign(count, noRank);
    order.servers.reserve(taken);
    for (std::size_t rank = 0; rank < taken; ++rank) {
        order.servers.push_back(weights[rank].second);
        order.ranks[weights[rank].second] = areSorted || rank >= order.holders ? rank : 0;
    }
    return order;
}

double usedWithin(double requestsPerSecond, double turnover)
{
    return 1 - std::exp(-requestsPerSecond * turnover);
}

class Weighing
{
public:
    explicit Weighing(const WeighingInput &input) : m_input(input)
    {
        const std::size_t count = input.servers.size();
        double sum = 0;
        for (std::size_t i = 0; i < count; ++i) {
            m_turnovers.push_back(turnoverSeconds(input, i));
            sum += m_turnovers.back();
        }
        m_meanTurnover = sum / static_cast<double>(count);
        for (std::size_t part = 0; part < input.sharedParts.size(); ++part)
            m_orders.push_back(orderFor(input, part, m_meanTurnover));
    }

    // Returns the probability that the server keeps a part, whatever of those before it.
    double partProbability(std::size_t part, std::size_t index) const
    {
        const PartOrder &order = m_orders[part];
        const PartBeliefs &beliefs = m_input.beliefs->parts[part];
        double result = keptProbability(beliefs.tokensSince[index], roomOf(m_input, index));
        const double rate = beliefs.requestsPerSecond;
        const double turnover = m_turnovers[index];
        if (const std::size_t rank = order.ranks[index]; rank != noRank) {
            const double holders = static_cast<double>(order.holders);
            const double relativeRoom
                = m_meanTurnover > 0 ? std::min(1.0, turnover / m_meanTurnover) : 0;
            double ranked
                = std::max(usedWithin(rate / holders, turnover), holderShare * relativeRoom);
            if (rank >= order.holders)
                ranked *= std::pow(followShare, static_cast<double>(rank - order.holders + 1));
            result = std::max(result, ranked);
        }
        // Parts before the last are read wherever the parts after them lead.
        if (part + 1 < m_orders.size()) {
            const double count = static_cast<double>(m_input.servers.size());
            result = std::max(result, usedWithin(rate / count, turnover));
        }
        return result;
    }

    // Returns the choice of this server and its cost in seconds.
    std::pair<double, WeighedChoice> weigh(std::size_t index) const
    {
        WeighedChoice choice;
        choice.index = index;
        choice.sureness = 1;
        double missing = 0;
        for (std::size_t part = 0; part < m_orders.size(); ++part) {
            choice.sureness = std::min(choice.sureness, partProbability(part, index));
            const double tokens = static_cast<double>(m_input.sharedParts[part].tokens);
            choice.keptTokens += tokens * choice.sureness;
            missing += tokens * (1 - choice.sureness);
        }
        EngineWork work = m_input.work;
        work.tokensToRead += missing;
        const EngineState &engine = m_input.servers[index].engine;
        const EngineForecast foreseen = forecast(engine, work);
        const EngineForecast least = forecast(engine, m_input.work);
        choice.firstEventSeconds = foreseen.firstEventSeconds;
        const std::size_t rank = m_orders.empty() ? 0 : m_orders.back().ranks[index];
        const std::size_t ranksBehind
            = std::min(rank, m_orders.empty() ? 0 : m_orders.back().servers.size());
        const double cost = foreseen.firstEventSeconds + foreseen.harmSeconds
            - (least.fitsMemory ? least.harmSeconds : 0) + m_input.servers[index].extraSeconds
            + secondsPerRank * static_cast<double>(ranksBehind);
        return {cost, choice};
    }

    // Returns the servers to be compared, some of them several times.
    std::vector<std::size_t> compared(Random &random) const
    {
        const std::size_t count = m_input.servers.size();
        std::vector<std::size_t> result;
        for (std::size_t part = 0; part < m_orders.size(); ++part) {
            const PartOrder &order = m_orders[part];
            const bool isLast = part + 1 == m_orders.size();
            if (order.holders > maxHoldersCompared) {
                // The part is kept nearly everywhere, so earlier ones need no comparison of theirs.
                for (std::size_t i = 0; isLast && i < maxHoldersCompared; ++i)
                    result.push_back(order.servers[random.below(order.holders)]);
                continue;
            }
            const std::size_t taken = isLast ? order.servers.size() : order.holders;
            result.insert(result.end(), order.servers.begin(),
                          order.servers.begin() + static_cast<std::ptrdiff_t>(taken));
            if (isLast)
                addSeen(part, result);
        }
        for (std::size_t i = 0; i < randomCount; ++i)
            result.push_back(random.below(count));
        return result;
    }

private:
    void addSeen(std::size_t part, std::vector<std::size_t> &result) const
    {
        constexpr double minProbability = 0.5;
        const std::vector<double> &since = m_input.beliefs->parts[part].tokensSince;
        for (std::size_t i = 0; i < since.size(); ++i) {
            if (std::isfinite(since[i])
                && keptProbability(since[i], roomOf(m_input, i)) > minProbability)
                result.push_back(i);
        }
    }

    const WeighingInput &m_input;
    std::vector<double> m_turnovers;
    double m_meanTurnover = 0;
    std::vector<PartOrder> m_orders;
};

} // namespace

std::size_t holderCount(double requestsPerSecond, double turnoverSeconds, std::size_t servers)
{
    const double paying = std::floor(requestsPerSecond * turnoverSeconds / usesPerCopy);
    return static_cast<std::size_t>(std::clamp(paying, 1.0, static_cast<double>(servers)));
}

std::vector<double> keptProbabilities(const WeighingInput &input, std::size_t index)
{
    const Weighing weighing(input);
    std::vector<double> result;
    double chain = 1;
    for (std::size_t part = 0; part < input.sharedParts.size(); ++part) {
        chain = std::min(chain, weighing.partProbability(part, index));
        result.push_back(chain);
    }
    return result;
}

WeighedChoice pickWeighed(const WeighingInput &input, Random &random)
{
    const Weighing weighing(input);
    std::optional<std::pair<double, WeighedChoice>> best;
    std::vector<bool> isWeighed(input.servers.size());
    for (const std::size_t index : weighing.compared(random)) {
        if (isWeighed[index])
            continue;
        isWeighed[index] = true;
        const auto weighed = weighing.weigh(index);
        if (!best || weighed.first < best->first)
            best = weighed;
    }
    return best->second;
}

} // namespace ibisnotch
