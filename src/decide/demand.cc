#include "ibisnotch/demand.h"

#include <algorithm>
#include <cmath>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

constexpr Duration averagingTime = std::chrono::milliseconds(500);
// Three reports in a row may be lost.
constexpr Duration instanceReportMaxAge = std::chrono::seconds(1);
// Reports of regions pass two instances on their way.
constexpr Duration regionReportMaxAge = std::chrono::seconds(2);
constexpr double minRequestsPerSecond = 0.05; // below it a class isn't reported
constexpr std::size_t maxClasses = 64; // the most in one report

std::uint32_t milliseconds(Duration time)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

void add(std::map<DemandClass, Demand> &sums, const std::vector<Demand> &demands)
{
    for (const Demand &demand : demands) {
        Demand &sum = sums[demand.demandClass];
        sum.demandClass = demand.demandClass;
        sum.requests += demand.requests;
        sum.servers += demand.servers;
        sum.running += demand.running;
    }
}

// An amount that is not a number would stay in all later plans.
bool isAmount(float value)
{
    return std::isfinite(value) && value >= 0;
}

bool isValid(const Demand &demand)
{
    return isAmount(demand.requests) && isAmount(demand.servers) && isAmount(demand.running);
}

} // namespace

std::uint32_t poolId(std::string_view name)
{
    return static_cast<std::uint32_t>(hash64(name));
}

std::uint64_t regionMask(const std::vector<std::string> &regions,
                         const std::vector<std::string> &all)
{
    constexpr std::size_t maxRegions = 64;
    std::uint64_t mask = 0;
    for (std::size_t i = 0; i < std::min(all.size(), maxRegions); ++i) {
        if (std::find(regions.begin(), regions.end(), all[i]) != regions.end())
            mask |= std::uint64_t(1) << i;
    }
    return mask;
}

void DemandMeter::fade(Rate &rate, TimePoint now)
{
    const double factor
        = std::exp(-seconds(std::max(now - rate.at, Duration(0))) / seconds(averagingTime));
    rate.requests *= factor;
    rate.servers *= factor;
    rate.running *= factor;
    rate.at = now;
}

void DemandMeter::onRequest(const DemandClass &demandClass, const Work &work, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    Rate &rate = m_rates[demandClass];
    fade(rate, now);
    rate.requests += 1 / seconds(averagingTime);
    rate.servers += work.serverSeconds / seconds(averagingTime);
    rate.running += work.runSeconds / seconds(averagingTime);
}

std::vector<Demand> DemandMeter::localDemand(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<Demand> demands;
    for (auto &[demandClass, rate] : m_rates) {
        fade(rate, now);
        if (rate.requests >= minRequestsPerSecond && demands.size() < maxClasses)
            demands.push_back({demandClass, static_cast<float>(rate.requests),
                               static_cast<float>(rate.servers), static_cast<float>(rate.running)});
    }
    std::erase_if(m_rates,
                  [](const auto &entry) { return entry.second.requests < minRequestsPerSecond; });
    return demands;
}

void DemandMeter::onInstanceDemand(const std::string &instance, std::vector<Demand> demands,
                                   TimePoint now)
{
    std::erase_if(demands, [](const Demand &demand) { return !isValid(demand); });
    const std::lock_guard lock(m_mutex);
    m_instances[instance] = {std::move(demands), now};
}

std::optional<std::vector<Demand>> DemandMeter::sumRegion(TimePoint now)
{
    std::map<DemandClass, Demand> sums;
    add(sums, localDemand(now));
    const std::lock_guard lock(m_mutex);
    if (now - m_lastSumAt >= instanceReportMaxAge)
        m_reporterSince = now;
    m_lastSumAt = now;
    if (now - m_reporterSince < instanceReportMaxAge)
        return std::nullopt;
    std::erase_if(m_instances, [now](const auto &entry) {
        return entry.second.at + instanceReportMaxAge <= now;
    });
    for (const auto &[name, report] : m_instances)
        add(sums, report.demands);
    std::vector<Demand> result;
    for (const auto &[demandClass, demand] : sums)
        result.push_back(demand);
    return result;
}

void DemandMeter::onRegionDemand(RegionDemand demand, TimePoint now)
{
    std::erase_if(demand.demands, [](const Demand &one) { return !isValid(one); });
    std::erase_if(demand.capacities, [](const PoolCapacity &one) {
        return !isAmount(one.servers) || !isAmount(one.outstanding);
    });
    const std::lock_guard lock(m_mutex);
    const TimePoint at = now - std::chrono::milliseconds(demand.ageMs);
    RegionReport &report = m_regions[demand.region];
    if (at > report.at)
        report = {std::move(demand), at};
}

std::vector<RegionDemand> DemandMeter::regions(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<RegionDemand> result;
    for (const auto &[name, report] : m_regions) {
        if (report.at + regionReportMaxAge <= now)
            continue;
        result.push_back(report.demand);
        result.back().ageMs = milliseconds(now - report.at);
    }
    return result;
}

} // namespace ibisnotch
