#include "region-demand.h"

#include <algorithm>

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

RegionDemand Control::ownRegionDemand(const RoutingTable &table)
{
    const TimePoint now = m_state.clock.now();
    RegionDemand own;
    own.region = m_state.settings.region;
    own.demands = m_state.demand.sumRegion(now);
    for (const auto &[name, pool] : table.config->pools) {
        if (pool.kind != ServiceKind::model)
            continue;
        auto candidates = candidatesForPool(table, name);
        removeCold(candidates, now);
        removeLimited(candidates);
        removeResting(candidates, now);
        own.capacities.push_back({poolId(name), static_cast<float>(candidates.size())});
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
    m_state.demand.onRegionDemand(ownRegionDemand(*table), now);
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
    for (const PlannedLoad &load : m_state.regionPlanner.plan().loads) {
        if (load.region == m_state.settings.region)
            m_state.metrics.setGauge("ibisnotch_planned_utilization", load.utilization);
    }
}

} // namespace ibisnotch
