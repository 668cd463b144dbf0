// Dispatch: division of requests among the regions by the plan that all instances share.
#include <algorithm>

#include "dispatch.h"
#include "ibisnotch/read-delay.h"
#include "region-demand.h"

namespace ibisnotch {

std::optional<DemandClass> Dispatch::demandClass() const
{
    const bool isDivided = m_state.settings.features.regionPlan && m_exchange->prompt.tokens > 0
        && !m_exchange->fromPeer && m_exchange->streaming;
    if (!isDivided)
        return std::nullopt;
    DemandClass result;
    result.pool = poolId(loadKey(*m_exchange));
    result.regions
        = regionMask(m_exchange->allowedRegions, sortedRegions(m_exchange->config().regions));
    // Where reading the shared part takes longer than the way to another region, one region keeps
    // it for the callers of all.
    const double rate = m_state.engineStatistics.readRate(loadKey(*m_exchange));
    result.placed = m_exchange->prefixHash != 0
        && readTime(rate, m_exchange->prompt.sharedTokens()) > m_exchange->config().regionOneWay;
    return result;
}

void Dispatch::countDemand(const DemandClass &demandClass, std::span<const Candidate> candidates)
{
    if (std::exchange(m_demandCounted, true))
        return;
    const std::string &pool = loadKey(*m_exchange);
    const double readSeconds
        = seconds(readTime(m_state.engineStatistics.readRate(pool), tokensToRead()));
    const double answerSeconds = m_state.engineStatistics.meanEvents(m_exchange->service->name)
        * m_state.engineStatistics.facts(pool).eventSeconds;
    // Without a server here the number of slots isn't known, and only the reading counts.
    const double slotsUsed = candidates.empty() ? 0 : 1 / std::max(1.0, candidates.front().slots);
    const DemandMeter::Work work{readSeconds + answerSeconds * slotsUsed,
                                 readSeconds + answerSeconds};
    m_state.demand.onRequest(demandClass, work, m_state.clock.now());
}

// The plan holds for the first attempt only: with each further one it would lead to the same
// region, also if that can't be reached.
std::optional<RegionDecision> Dispatch::plannedRegion(const RegionChoiceInput &input,
                                                      const DemandClass &demandClass, bool admit)
{
    const bool isFirst = m_attempts == 0 && m_exchange->lastEventId.empty();
    if (!isFirst || !input.canForward || input.allowed.empty())
        return std::nullopt;
    const double draw = demandClass.placed ? drawForPrefix(m_exchange->prefixHash) : m_regionDraw;
    const auto region = m_state.regionPlanner.choose(demandClass, input.localRegion, draw);
    const auto contains = [&](const std::vector<std::string> &regions) {
        return std::find(regions.begin(), regions.end(), *region) != regions.end();
    };
    if (!region || !contains(input.allowed))
        return std::nullopt;
    // Where the region would refuse the request, the loads of all regions decide.
    if (*region == input.localRegion) {
        if (input.localRejects || input.localLoad.slots <= 0)
            return std::nullopt;
        return RegionDecision{region, 0, false};
    }
    const auto load = m_state.regionLoads.find(*region, input.loadKey, m_state.clock.now());
    if (!contains(input.reachable) || !load || load->slots <= 0)
        return std::nullopt;
    if (admit && !m_admitted && admissionRefusal(*load, true, false))
        return std::nullopt;
    return RegionDecision{region, 2 * seconds(input.oneWayDelay), false};
}

} // namespace ibisnotch
