#include "region-demand.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "control.h"
#include "ibisnotch/log.h"
#include "ibisnotch/pick.h"

namespace ibisnotch {

std::vector<std::string> sortedRegions(const std::vector<Region> &regions)
{
    std::vector<std::string> names;
    for (const Region &region : regions)
        names.push_back(region.name);
    std::sort(names.begin(), names.end());
    return names;
}

// An instance that has just become the reporter lacks the demand at the others, so it reports
// nothing until they have had the time to report to it. The sums of the one before it hold until
// then.
std::optional<RegionDemand> Control::ownRegionDemand(const RoutingTable &table)
{
    const TimePoint now = m_state.clock.now();
    auto sum = m_state.demand.sumRegion(now);
    if (!sum)
        return std::nullopt;
    RegionDemand own;
    own.region = m_state.settings.region;
    own.demands = *std::move(sum);
    for (const auto &[name, pool] : table.config->pools) {
        if (pool.kind != ServiceKind::model)
            continue;
        auto candidates = candidatesForPool(table, name);
        removeCold(candidates, now);
        removeLimited(candidates);
        removeResting(candidates, now);
        std::erase_if(candidates,
                      [](const Candidate &one) { return one.view->counters->saidLeaving.load(); });
        const RegionLoad load = summarizeLoad(own.region, name, candidates);
        own.capacities.push_back({poolId(name), static_cast<float>(candidates.size()),
                                  static_cast<float>(load.outstanding)});
    }
    return own;
}

void Control::addDemand(GossipMessage &message)
{
    const TimePoint now = m_state.clock.now();
    if (!isReporter()) {
        message.hasDemand = true;
        message.demands = m_state.demand.localDemand(now);
        return;
    }
    const auto table = m_state.routing.read();
    if (!table || !table->config)
        return;
    if (const auto own = ownRegionDemand(*table))
        m_state.demand.onRegionDemand(*own, now);
    message.regionDemands = m_state.demand.regions(now);
}

void Control::updateRegionPlan()
{
    const auto table = m_state.routing.read();
    if (!table || !table->config)
        return;
    const FleetConfig &config = *table->config;
    const auto demands = m_state.demand.regions(m_state.clock.now());
    RegionPlanInput input;
    input.regions = demands;
    input.allRegions = sortedRegions(config.regions);
    input.moveSeconds = 2 * seconds(config.regionOneWay) + seconds(config.limits.awayMargin);
    m_state.regionPlanner.update(input);
    const RegionPlan plan = m_state.regionPlanner.plan();
    double highest = 0; // of the pools
    for (const PlannedLoad &load : plan.loads) {
        if (load.region == m_state.settings.region)
            highest = std::max(highest, load.utilization);
    }
    m_state.metrics.setGauge("ibisnotch_planned_utilization", highest);
    if (isReporter())
        logRegionPlan(plan);
}

// Logs the plan when a share of the own region has changed much since it was last logged.
void Control::logRegionPlan(const RegionPlan &plan)
{
    constexpr double loggedChange = 0.15;
    std::string shares;
    double change = plan.rows.size() == m_loggedPlan.rows.size() ? 0 : 1;
    for (const PlanRow &row : plan.rows) {
        if (row.from != m_state.settings.region)
            continue;
        shares += fmt::format("{}{:x}{}", shares.empty() ? "" : ";", row.demandClass.regions,
                              row.demandClass.placed ? "+" : "");
        const PlanRow *logged = m_loggedPlan.find(row.demandClass, row.from);
        for (const RegionShare &share : row.shares) {
            shares += fmt::format(",{}:{:.2f}", share.region, share.share);
            change = std::max(
                change, std::abs(share.share - (logged ? shareOf(*logged, share.region) : 0)));
        }
    }
    if (change < loggedChange)
        return;
    m_loggedPlan = plan;
    std::string loads;
    for (const PlannedLoad &load : plan.loads)
        loads += fmt::format("{}{}:{:.2f}+{:.1f}", loads.empty() ? "" : ";", load.region,
                             load.utilization, load.unexplained);
    logLine(LogPart::control, LogLevel::info, "Regions' plan changed.",
            {{"from", m_state.settings.region}, {"shares", shares}, {"loads", loads}});
}

} // namespace ibisnotch
