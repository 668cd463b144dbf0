#include "ibisnotch/region-plan.h"

#include <algorithm>
#include <limits>
#include <numeric>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

constexpr double fullUtilization = 0.95; // above it the delay grows at a constant rate
constexpr int steps = 40;
// Part of a class that changes its region in the first step. A placed class moves slowly, since a
// prefix that changes its region has to be read again there.
constexpr double firstStep = 0.1;
constexpr double firstStepOfPlaced = 0.03;
constexpr double stepsToHalve = 4; // steps after which that part has halved
// Part by which the unexplained load follows a new measurement. Requests run for a second or more
// after the plan has changed, so a difference that is corrected already still shows.
constexpr double unexplainedGain = 0.15;

// Returns the derivative of the number of running requests by the work that arrives, relative to
// that at idle servers: with utilization u each request takes 1 / (1 - u) times as long.
double congestion(double utilization)
{
    const double free = 1 - std::min(utilization, fullUtilization);
    const double slope = 2 / (free * free * free);
    return 1 / (free * free) + slope * std::max(0.0, utilization - fullUtilization);
}

// The demand of one class in one region, or in all regions together if the class is placed.
struct Flow
{
    DemandClass demandClass;
    std::vector<std::size_t> from; // indexes of regions
    std::vector<double> fromShare; // of each of these
    double requests = 0;
    double servers = 0;
    double running = 0;
    std::vector<double> shares; // by region
};

// The planning of one pool.
class PoolPlan
{
public:
    PoolPlan(std::uint32_t pool, const RegionPlanInput &input, const RegionPlan &previous)
        : m_pool(pool), m_input(input), m_capacity(input.regions.size()),
          m_outstanding(input.regions.size()), m_load(input.regions.size()),
          m_running(input.regions.size()), m_unexplained(input.regions.size())
    {
        for (std::size_t i = 0; i < input.regions.size(); ++i) {
            for (const PoolCapacity &capacity : input.regions[i].capacities) {
                m_capacity[i] += capacity.pool == pool ? capacity.servers : 0;
                m_outstanding[i] += capacity.pool == pool ? capacity.outstanding : 0;
            }
            for (const Demand &demand : input.regions[i].demands) {
                if (demand.demandClass.pool == pool)
                    addDemand(i, demand);
            }
        }
        for (Flow &flow : m_flows)
            start(flow, previous);
        for (std::size_t i = 0; i < m_load.size(); ++i)
            updateUnexplained(i, previous);
    }

    void improve()
    {
        for (int step = 0; step < steps; ++step) {
            const double scale = 1 / (1 + step / stepsToHalve);
            for (Flow &flow : m_flows)
                moveTowardsBest(flow,
                                scale * (flow.demandClass.placed ? firstStepOfPlaced : firstStep));
        }
    }

    void addTo(RegionPlan &plan) const
    {
        for (const Flow &flow : m_flows) {
            for (const std::size_t from : flow.from)
                plan.rows.push_back(
                    {flow.demandClass, m_input.regions[from].region, namedShares(flow)});
        }
        for (std::size_t i = 0; i < m_load.size(); ++i)
            plan.loads.push_back(
                {m_pool, m_input.regions[i].region, utilization(i), m_unexplained[i]});
    }

private:
    void addDemand(std::size_t region, const Demand &demand)
    {
        const bool placed = demand.demandClass.placed;
        const auto known = std::find_if(m_flows.begin(), m_flows.end(), [&](const Flow &flow) {
            return placed && flow.demandClass == demand.demandClass;
        });
        Flow &flow = known == m_flows.end() ? m_flows.emplace_back() : *known;
        flow.demandClass = demand.demandClass;
        flow.from.push_back(region);
        flow.fromShare.push_back(demand.requests);
        flow.requests += demand.requests;
        flow.servers += demand.servers;
        flow.running += demand.running;
    }

    bool isAllowed(const Flow &flow, std::size_t region) const
    {
        const auto &all = m_input.allRegions;
        const auto at = std::find(all.begin(), all.end(), m_input.regions[region].region);
        if (at == all.end() || m_capacity[region] <= 0)
            return false;
        return ((flow.demandClass.regions >> (at - all.begin())) & 1U) != 0;
    }

    void start(Flow &flow, const RegionPlan &previous)
    {
        for (double &share : flow.fromShare)
            share /= std::max(flow.requests, std::numeric_limits<double>::min());
        flow.shares.assign(m_capacity.size(), 0);
        const PlanRow *row = previousRow(flow, previous);
        double sum = 0;
        for (std::size_t i = 0; i < flow.shares.size(); ++i) {
            if (!isAllowed(flow, i))
                continue;
            if (row != nullptr)
                flow.shares[i] = shareOf(*row, m_input.regions[i].region);
            else
                flow.shares[i] = flow.demandClass.placed ? m_capacity[i] : startShare(flow, i);
            sum += flow.shares[i];
        }
        if (!(sum > 0))
            sum = startEvenly(flow);
        for (std::size_t i = 0; i < flow.shares.size(); ++i) {
            flow.shares[i] /= std::max(sum, std::numeric_limits<double>::min());
            m_load[i] += flow.shares[i] * flow.servers;
            m_running[i] += flow.shares[i] * flow.running;
        }
    }

    // Compares the requests outstanding in the region with those that the previous plan explains.
    void updateUnexplained(std::size_t region, const RegionPlan &previous)
    {
        double before = 0;
        for (const PlannedLoad &load : previous.loads) {
            if (load.pool == m_pool && load.region == m_input.regions[region].region)
                before = load.unexplained;
        }
        const double idle = runningPerServer(region) * m_capacity[region];
        const double outstanding = m_outstanding[region];
        const double busy = m_capacity[region] * outstanding / std::max(outstanding + idle, 1.0);
        const double missing = std::max(0.0, busy - m_load[region]);
        m_unexplained[region] = before + unexplainedGain * (missing - before);
    }

    // Returns how many requests of the region's mix run at a server that they keep busy.
    double runningPerServer(std::size_t region) const
    {
        return std::max(1.0, m_running[region] / std::max(m_load[region], 0.001));
    }

    // The rows of a placed class are alike, so that of any region tells its shares.
    const PlanRow *previousRow(const Flow &flow, const RegionPlan &previous) const
    {
        if (!flow.demandClass.placed)
            return previous.find(flow.demandClass, m_input.regions[flow.from.front()].region);
        const auto found
            = std::find_if(previous.rows.begin(), previous.rows.end(),
                           [&](const PlanRow &row) { return row.demandClass == flow.demandClass; });
        return found == previous.rows.end() ? nullptr : &*found;
    }

    static double startShare(const Flow &flow, std::size_t region)
    {
        const auto at = std::find(flow.from.begin(), flow.from.end(), region);
        return at == flow.from.end()
            ? 0
            : flow.fromShare[static_cast<std::size_t>(at - flow.from.begin())];
    }

    // Returns the sum of the shares.
    double startEvenly(Flow &flow) const
    {
        double sum = 0;
        for (std::size_t i = 0; i < flow.shares.size(); ++i) {
            flow.shares[i] = isAllowed(flow, i) ? m_capacity[i] : 0;
            sum += flow.shares[i];
        }
        return sum;
    }

    double utilization(std::size_t region) const
    {
        return m_capacity[region] > 0
            ? (m_load[region] + m_unexplained[region]) / m_capacity[region]
            : 1;
    }

    // Returns the delay of all requests together that one more second of work brings in the region.
    double costOf(const Flow &flow, std::size_t region) const
    {
        const double requestsPerWork = flow.requests / std::max(flow.servers, 0.001);
        const double movedShare = 1 - startShare(flow, region);
        const double meanRunningPerServer = std::reduce(m_running.begin(), m_running.end())
            / std::max(std::reduce(m_load.begin(), m_load.end()), 0.001);
        return meanRunningPerServer * congestion(utilization(region))
            + movedShare * requestsPerWork * m_input.moveSeconds;
    }

    // A prefix that changes its region has to be read again there. A placed class stays where it is
    // unless another region is better by as much as its requests lose on the way to another region.
    bool isWorthMoving(const Flow &flow, double bestCost) const
    {
        if (!flow.demandClass.placed)
            return true;
        double mean = 0;
        for (std::size_t i = 0; i < flow.shares.size(); ++i) {
            if (flow.shares[i] > 0)
                mean += flow.shares[i] * costOf(flow, i);
        }
        const double requestsPerWork = flow.requests / std::max(flow.servers, 0.001);
        return mean - bestCost > requestsPerWork * m_input.moveSeconds;
    }

    void moveTowardsBest(Flow &flow, double part)
    {
        std::optional<std::size_t> best;
        double bestCost = 0;
        for (std::size_t i = 0; i < flow.shares.size(); ++i) {
            if (!isAllowed(flow, i))
                continue;
            const double cost = costOf(flow, i);
            if (!best || cost < bestCost) {
                best = i;
                bestCost = cost;
            }
        }
        if (!best || !isWorthMoving(flow, bestCost))
            return;
        for (std::size_t i = 0; i < flow.shares.size(); ++i) {
            const double wanted = i == *best ? 1 : 0;
            const double change = part * (wanted - flow.shares[i]);
            flow.shares[i] += change;
            m_load[i] += change * flow.servers;
            m_running[i] += change * flow.running;
        }
    }

    std::vector<RegionShare> namedShares(const Flow &flow) const
    {
        std::vector<RegionShare> shares;
        for (std::size_t i = 0; i < flow.shares.size(); ++i) {
            if (flow.shares[i] > 0)
                shares.push_back({m_input.regions[i].region, flow.shares[i]});
        }
        std::sort(shares.begin(), shares.end(),
                  [](const RegionShare &a, const RegionShare &b) { return a.region < b.region; });
        return shares;
    }

    std::uint32_t m_pool;
    const RegionPlanInput &m_input;
    std::vector<double> m_capacity; // servers, by region
    std::vector<double> m_outstanding; // requests, by region
    std::vector<double> m_load; // busy servers, by region
    std::vector<double> m_running; // requests that would run at idle servers, by region
    std::vector<double> m_unexplained; // busy servers, by region
    std::vector<Flow> m_flows;
};

std::vector<std::uint32_t> poolsOf(std::span<const RegionDemand> regions)
{
    std::vector<std::uint32_t> pools;
    for (const RegionDemand &region : regions) {
        for (const Demand &demand : region.demands)
            pools.push_back(demand.demandClass.pool);
    }
    std::sort(pools.begin(), pools.end());
    pools.erase(std::unique(pools.begin(), pools.end()), pools.end());
    return pools;
}

} // namespace

const PlanRow *RegionPlan::find(const DemandClass &demandClass, std::string_view from) const
{
    const auto found = std::find_if(rows.begin(), rows.end(), [&](const PlanRow &row) {
        return row.demandClass == demandClass && row.from == from;
    });
    return found == rows.end() ? nullptr : &*found;
}

RegionPlan planRegions(const RegionPlanInput &input, const RegionPlan &previous)
{
    RegionPlan plan;
    for (const std::uint32_t pool : poolsOf(input.regions)) {
        PoolPlan poolPlan(pool, input, previous);
        poolPlan.improve();
        poolPlan.addTo(plan);
    }
    return plan;
}

double shareOf(const PlanRow &row, std::string_view region)
{
    const auto found
        = std::find_if(row.shares.begin(), row.shares.end(),
                       [&](const RegionShare &share) { return share.region == region; });
    return found == row.shares.end() ? 0 : found->share;
}

std::string regionForDraw(const PlanRow &row, double draw)
{
    for (const RegionShare &share : row.shares) {
        if (draw < share.share)
            return share.region;
        draw -= share.share;
    }
    return row.shares.empty() ? "" : row.shares.back().region;
}

double drawForPrefix(std::uint64_t prefixHash)
{
    constexpr int unusedBits = 11; // a double holds 53 bits
    constexpr double scale = 1.0 / static_cast<double>(std::uint64_t(1) << 53);
    const std::uint64_t mixed = rendezvousWeight("region", prefixHash);
    return static_cast<double>(mixed >> unusedBits) * scale;
}

void RegionPlanner::update(const RegionPlanInput &input)
{
    const RegionPlan previous = plan();
    RegionPlan next = planRegions(input, previous);
    const std::lock_guard lock(m_mutex);
    m_plan = std::move(next);
}

std::optional<std::string> RegionPlanner::choose(const DemandClass &demandClass,
                                                 std::string_view from, double draw) const
{
    const std::lock_guard lock(m_mutex);
    const PlanRow *row = m_plan.find(demandClass, from);
    if (row == nullptr || row->shares.empty())
        return std::nullopt;
    return regionForDraw(*row, draw);
}

RegionPlan RegionPlanner::plan() const
{
    const std::lock_guard lock(m_mutex);
    return m_plan;
}

} // namespace ibisnotch
