// How much work the customers ask for at all instances, by pool, whether or not it is accepted.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/demand.h"

namespace ibisnotch {

// Work of one customer for one pool. The rate is an average over about the last
// second, so that messages which are lost, duplicated or reordered have no lasting effect.
struct CustomerDemand
{
    std::uint32_t customer = 0; // customerId of its name
    std::uint32_t pool = 0; // poolId of the pool's or service's name
    float perSecond = 0; // in tokens, or in requests if they have none

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(customer, pool, perSecond);
    }
    bool operator==(const CustomerDemand &) const = default;
};

// Demand of the callers of one region, or of all regions if `region` is empty.
struct CustomerTotals
{
    std::string region;
    std::uint32_t ageMs = 0; // age of the data when the message is sent
    std::vector<CustomerDemand> customers;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(region, ageMs, customers);
    }
    bool operator==(const CustomerTotals &) const = default;
};

// What an instance knows of the demand for one pool.
struct PoolDemand
{
    std::map<std::uint32_t, double> customers; // work per second, by customerId
    std::optional<Duration> age; // of the totals; empty if only this instance's own are known
    bool operator==(const PoolDemand &) const = default;
};

// Collects the demand of all instances: each reports its own to the reporter of its region, which
// sends the region's totals to the other reporters and the totals of all regions to the instances
// of its own. The state is soft: an instance that hears nothing for `totalsMaxAge` knows its own
// demand only, and one that has just started knows none. Thread safe.
class DemandTotals
{
public:
    struct Limits
    {
        Duration rateTimeConstant = std::chrono::seconds(1);
        // Four times the reporting interval, so that three reports in a row may be lost.
        Duration totalsMaxAge = std::chrono::seconds(1);
    };

    DemandTotals() : DemandTotals(Limits{}) { }
    explicit DemandTotals(Limits limits) : m_limits(limits) { }

    // Called for each request of a caller of this instance, before its admission.
    void onRequest(std::string_view customer, std::string_view pool, double work, TimePoint now);

    // Returns the demand that this instance reports to the reporter of its region.
    std::vector<CustomerDemand> localDemand(TimePoint now);
    // Called at the reporter with the report of an instance of the region.
    void onInstanceDemand(const std::string &instance, std::vector<CustomerDemand> customers,
                          TimePoint now);
    // Returns the totals of the region, and of all regions that are not outdated. Called at the
    // reporter.
    CustomerTotals aggregateRegion(const std::string &region, TimePoint now);
    CustomerTotals aggregateAll(TimePoint now);
    // Called with the totals of a region, or of all regions.
    void onCustomerTotals(const CustomerTotals &demand, TimePoint now);

    PoolDemand demandFor(std::string_view pool, TimePoint now);

private:
    using Key = std::pair<std::uint32_t, std::uint32_t>; // customerId and poolId
    // An exponentially weighted moving average, in units per second.
    struct Rate
    {
        double perSecond = 0;
        TimePoint at{};
    };
    struct Report
    {
        std::vector<CustomerDemand> customers;
        TimePoint at{};
    };

    double valueOf(const Rate &rate, TimePoint now) const;
    std::vector<CustomerDemand> ownDemand(TimePoint now) const;
    void removeOutdated(std::map<std::string, Report> &reports, TimePoint now) const;

    Limits m_limits;
    std::mutex m_mutex;
    std::map<Key, Rate> m_own;
    std::map<std::string, Report> m_instances; // of the own region, by name
    std::map<std::string, Report> m_regions; // by name; the key "" has the totals of all regions
};

} // namespace ibisnotch
