#include "ibisnotch/demand-totals.h"

#include <algorithm>
#include <cmath>

#include "ibisnotch/hash.h"
#include "ibisnotch/usage-cap.h"

namespace ibisnotch {

namespace {

// Rates below this are forgotten, so that the length of messages depends on active customers.
constexpr double minRatePerSecond = 0.05;
// Name under which the totals of all regions are kept.
constexpr std::string_view allRegions;

} // namespace

double DemandTotals::valueOf(const Rate &rate, TimePoint now) const
{
    const double age = seconds(std::max(now - rate.at, Duration(0)));
    return rate.perSecond * std::exp(-age / seconds(m_limits.rateTimeConstant));
}

void DemandTotals::onRequest(std::string_view customer, std::string_view pool, double work,
                             TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    Rate &rate = m_own[{customerId(customer), poolId(pool)}];
    rate.perSecond = valueOf(rate, now) + work / seconds(m_limits.rateTimeConstant);
    rate.at = now;
}

std::vector<CustomerDemand> DemandTotals::ownDemand(TimePoint now) const
{
    std::vector<CustomerDemand> customers;
    for (const auto &[key, rate] : m_own)
        customers.push_back({key.first, key.second, static_cast<float>(valueOf(rate, now))});
    return customers;
}

std::vector<CustomerDemand> DemandTotals::localDemand(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_own,
                  [&](const auto &entry) { return valueOf(entry.second, now) < minRatePerSecond; });
    return ownDemand(now);
}

void DemandTotals::onInstanceDemand(const std::string &instance,
                                    std::vector<CustomerDemand> customers, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_instances[instance] = {std::move(customers), now};
}

void DemandTotals::removeOutdated(std::map<std::string, Report> &reports, TimePoint now) const
{
    std::erase_if(reports,
                  [&](const auto &entry) { return now - entry.second.at > m_limits.totalsMaxAge; });
}

CustomerTotals DemandTotals::aggregateRegion(const std::string &region, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    removeOutdated(m_instances, now);
    std::map<Key, double> sums;
    const auto add = [&sums](const std::vector<CustomerDemand> &customers) {
        for (const CustomerDemand &one : customers)
            sums[{one.customer, one.pool}] += one.perSecond;
    };
    add(ownDemand(now));
    for (const auto &[instance, report] : m_instances)
        add(report.customers);
    CustomerTotals result{region, 0, {}};
    for (const auto &[key, sum] : sums)
        result.customers.push_back({key.first, key.second, static_cast<float>(sum)});
    return result;
}

CustomerTotals DemandTotals::aggregateAll(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    removeOutdated(m_regions, now);
    std::map<Key, double> sums;
    CustomerTotals result{std::string(allRegions), 0, {}};
    TimePoint youngest{};
    for (const auto &[region, report] : m_regions) {
        if (region == allRegions)
            continue;
        youngest = std::max(youngest, report.at);
        for (const CustomerDemand &one : report.customers)
            sums[{one.customer, one.pool}] += one.perSecond;
    }
    result.ageMs = ageInMs(youngest, now);
    for (const auto &[key, sum] : sums)
        result.customers.push_back({key.first, key.second, static_cast<float>(sum)});
    return result;
}

void DemandTotals::onCustomerTotals(const CustomerTotals &demand, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint at = now - std::chrono::milliseconds(demand.ageMs);
    Report &report = m_regions[demand.region];
    if (at >= report.at)
        report = {demand.customers, at};
}

PoolDemand DemandTotals::demandFor(std::string_view pool, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    removeOutdated(m_regions, now);
    const auto totals = m_regions.find(std::string(allRegions));
    const bool known = totals != m_regions.end();
    PoolDemand result;
    if (known)
        result.age = now - totals->second.at;
    const std::uint32_t id = poolId(pool);
    for (const CustomerDemand &one : known ? totals->second.customers : ownDemand(now)) {
        if (one.pool == id)
            result.customers[one.customer] += one.perSecond;
    }
    return result;
}

} // namespace ibisnotch
