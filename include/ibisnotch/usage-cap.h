// Usage caps of customers across all instances: how much each customer requests and consumes, and
// whether one more request fits into its cap.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/config.h"

namespace ibisnotch {

// Usage of one customer at an instance or in a region, in the units of its cap. The rates are
// averages over about the last second, so that messages which are lost, duplicated or reordered
// have no lasting effect.
struct CustomerUsage
{
    std::uint32_t customer = 0; // customerId of its name
    float requested = 0; // per second
    float consumed = 0; // per second; part of `requested`

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(customer, requested, consumed);
    }
    bool operator==(const CustomerUsage &) const = default;
};

struct RegionUsage
{
    std::string region;
    std::uint32_t ageMs = 0; // age of the data when the message is sent
    std::vector<CustomerUsage> customers;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(region, ageMs, customers);
    }
    bool operator==(const RegionUsage &) const = default;
};

// Returns the hash that identifies a customer in usage reports.
std::uint32_t customerId(std::string_view name);

struct UsageDecision
{
    bool fits = true;
    Duration retryAfter{}; // expected time until the request fits, if it does not
    // Values that led to the decision, for the log:
    double requested = 0; // per second, at all instances
    double limit = 0; // per second, currently admitted
    double level = 0; // unused part of the burst; negative if overdrawn
    // Age of the usage totals of the own region; empty if this instance decided from its own share.
    std::optional<Duration> regionUsageAge;
    bool operator==(const UsageDecision &) const = default;
};

// The regions and instances that share the caps.
struct UsageScope
{
    std::string region; // of this instance
    std::vector<std::string> regions; // all of the deployment, including `region`
    std::size_t instanceCount = 1; // instances of `region` that may be accepting requests
    bool operator==(const UsageScope &) const = default;
};

// While an instance receives usage totals of all regions, it admits each request with the same
// probability as any other instance: the cap divided by the total requested rate. So no request is
// rejected below the cap, however unevenly callers are distributed. A share of each cap is reserved
// for every region whose totals do not arrive, and an instance that receives none stays within its
// own share, so that the sides of a network partition together stay within the cap. Thread safe.
class UsageCaps
{
public:
    struct Limits
    {
        Duration rateTimeConstant = std::chrono::milliseconds(500);
        // Up to this age totals have full weight; the weight then falls to zero at `usageMaxAge`.
        Duration usageFreshFor = std::chrono::milliseconds(400);
        // Four times the reporting interval, so that three reports in a row may be lost. Until this
        // age, both sides of a partition use more than their shares of a cap.
        Duration usageMaxAge = std::chrono::seconds(1);
        // Time over which the unused burst is granted or an overdraft is compensated. Updates from
        // other regions take up to half of it.
        Duration levelCorrectionTime = std::chrono::seconds(1);
        // For this time after its start an instance does not know the number of other instances and
        // assumes at least `minInstancesAtStartup`.
        Duration startupTime = std::chrono::seconds(2);
        std::size_t minInstancesAtStartup = 64;
        double slack = 0; // units above cap and burst that the platform tolerates
        double maxOverdraftSeconds = 2; // largest overdraft kept, in seconds of the cap
    };

    UsageCaps() : UsageCaps(Limits{}) { }
    explicit UsageCaps(Limits limits) : m_limits(limits) { }

    // Sets the caps in force. Reduces levels that exceed a lowered burst.
    void setCaps(const std::map<std::string, Customer> &customers);
    void setScope(UsageScope scope, TimePoint now);

    // Decides whether a request of this amount fits, and counts it if so. `draw` is a random number
    // in [0, 1).
    UsageDecision admit(const Customer &customer, double amount, double draw, TimePoint now);
    // Called for an admitted request that did not run: no longer counts it as consumed.
    void release(const std::string &customer, double amount, TimePoint now);

    // Updates the levels; must be called several times per second.
    void tick(TimePoint now);

    // Returns the usage that this instance reports to the instance which aggregates its region.
    std::vector<CustomerUsage> localUsage(TimePoint now);
    // Called at the aggregating instance with the report of an instance of the region.
    void onInstanceUsage(const std::string &instance, std::vector<CustomerUsage> usages,
                         TimePoint now);
    // Returns the totals of the region. Called at the instance that aggregates them.
    RegionUsage aggregateRegion(TimePoint now);
    // Called with the totals of any region, including the own one.
    void onRegionUsage(const RegionUsage &usage, TimePoint now);
    // Returns the totals of all regions that are not older than `usageMaxAge`.
    std::vector<RegionUsage> regionUsages(TimePoint now);

    // Returns true if any customer has a cap.
    bool hasCaps();
    // Returns true if a customer is near its cap, so that usage must be reported without delay.
    bool isNearAnyCap(TimePoint now);

    struct CustomerState
    {
        std::string name;
        UsageCap cap;
        double requested = 0; // per second, in all regions whose totals are known
        double consumed = 0; // likewise
        double level = 0;
        bool operator==(const CustomerState &) const = default;
    };
    std::vector<CustomerState> states(TimePoint now);

private:
    // An exponentially weighted moving average, in units per second.
    struct Rate
    {
        double perSecond = 0;
        TimePoint at{};

        void add(double amount, Duration timeConstant, TimePoint now);
        double value(Duration timeConstant, TimePoint now) const;
    };

    struct RegionTotal
    {
        double requested = 0;
        double consumed = 0;
        TimePoint at{};
    };

    struct Account
    {
        std::string name;
        UsageCap cap;
        // At this instance:
        Rate requestCount; // requests per second, whatever their amounts
        Rate requested;
        Rate admitted; // fits into the cap
        Rate consumed; // admitted and not rejected for another reason
        std::map<std::string, RegionTotal> regions; // by name
        double level = 0; // unused part of the burst; negative if overdrawn
        TimePoint levelAt{};
        double localLevel = 0; // the same for this instance's own share
        TimePoint localLevelAt{};
    };

    struct InstanceUsage
    {
        std::vector<CustomerUsage> customers;
        TimePoint at{};
    };

    // Usage in all regions whose totals are known.
    struct FleetUsage
    {
        double requested = 0;
        double consumed = 0;
        double available = 0; // part of the cap that is not reserved for other regions
        std::optional<TimePoint> localRegionAt; // time of the totals of the own region
    };

    double rateOf(const Rate &rate, TimePoint now) const;
    Account *find(const std::string &customer);
    double weightOf(const RegionTotal &total, TimePoint now) const;
    double regionShare() const;
    double grantableBurst(const UsageCap &cap) const;
    double executedShare(const Account &account, TimePoint now) const;
    bool isStarting(TimePoint now) const;
    std::size_t effectiveInstanceCount(TimePoint now) const;
    std::vector<CustomerUsage> unreachableUsage(TimePoint now) const;
    double estimatedFleetDemand(const Account &account, TimePoint now) const;
    FleetUsage fleetUsage(const Account &account, TimePoint now) const;
    void updateLevel(Account &account, const FleetUsage &fleet, TimePoint now) const;
    UsageDecision decideFromFleetUsage(Account &account, const FleetUsage &fleet, double amount,
                                       double draw, TimePoint now) const;
    UsageDecision decideFromLocalShare(Account &account, double amount, double draw,
                                       TimePoint now) const;

    Limits m_limits;
    std::mutex m_mutex;
    UsageScope m_scope;
    std::optional<TimePoint> m_startedAt;
    std::map<std::uint32_t, Account> m_accounts; // of customers with a cap, by customerId
    std::map<std::string, InstanceUsage> m_instances; // of the own region, by name
};

} // namespace ibisnotch
