// Usage caps of customers over all instances: what each customer asks for and is given, and whether
// one more request fits.
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

// One customer's use by an instance or a region, in the units of its cap. Rates are averages over
// the last second or so, so a message that is lost, repeated or overtaken does no lasting harm.
struct CustomerUsage
{
    std::uint32_t customer = 0; // customerId of its name
    float requested = 0; // per second
    float consumed = 0; // per second, of what was requested

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(customer, requested, consumed);
    }
    bool operator==(const CustomerUsage &) const = default;
};

struct RegionUsage
{
    std::string region;
    std::uint32_t ageMs = 0; // when sent
    std::vector<CustomerUsage> customers;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(region, ageMs, customers);
    }
    bool operator==(const RegionUsage &) const = default;
};

std::uint32_t customerId(std::string_view name);

struct UsageDecision
{
    bool fits = true;
    Duration retryAfter{}; // until the cap has room, if it does not fit
    // What decided, for the log.
    double requested = 0; // per second, by all instances
    double limit = 0; // per second, of what is given now
    double level = 0; // available of the burst; below zero: overdrawn
    std::optional<Duration>
        regionUsageAge; // of the region's sums; none: this instance is on its own
    bool operator==(const UsageDecision &) const = default;
};

// Where an instance stands among those that share the caps.
struct UsageScope
{
    std::string region;
    std::vector<std::string> regions; // of the deployment, this one included
    std::size_t instanceCount = 1; // of the region that may be taking requests
    bool operator==(const UsageScope &) const = default;
};

// While an instance hears from all regions, each request has the same chance everywhere: the part
// of what all admit for that the cap leaves room for. So nobody is refused below the cap, however
// uneven the callers spread. Of a region that is not heard a part of each cap is available to it,
// and an instance that hears nobody keeps to its own part: whichever cannot see each other stay
// within the cap together. Thread safe.
class UsageCaps
{
public:
    struct Limits
    {
        Duration rateTimeConstant = std::chrono::milliseconds(500); // time constant of rates
        Duration usageFreshFor
            = std::chrono::milliseconds(400); // from here on sums count ever less
        // Older sums no longer count. Four times the period in which they are reported, so that
        // three in a row may be lost; until it is over, both sides of a cut use the fleet.
        Duration usageMaxAge = std::chrono::seconds(1);
        // In which what is available of the burst is given out, or an overdraft consumed back. News
        // takes up to half of that.
        Duration levelCorrectionTime = std::chrono::seconds(1);
        // An instance that has just started does not know yet how many others there are.
        Duration startupTime = std::chrono::seconds(2);
        std::size_t minInstancesAtStartup = 64;
        double slack = 0; // units over any cap that the platform tolerates, beside its burst
        double maxOverdraftSeconds = 2; // overdraft that is remembered, in seconds of the cap
    };

    UsageCaps() : UsageCaps(Limits{}) { }
    explicit UsageCaps(Limits limits) : m_limits(limits) { }

    // The caps in force. A level above a lowered burst is cut to it.
    void setCaps(const std::map<std::string, Customer> &customers);
    void setScope(UsageScope scope, TimePoint now);

    // Whether a request of this amount fits; counts it if so. `draw` is a random number in [0, 1).
    UsageDecision admit(const Customer &customer, double amount, double draw, TimePoint now);
    // A request that was counted has not run.
    void release(const std::string &customer, double amount, TimePoint now);

    // Several times a second: settles levels.
    void tick(TimePoint now);

    // What this instance tells the one that sums up its region, and what that one heard.
    std::vector<CustomerUsage> localUsage(TimePoint now);
    void onInstanceUsage(const std::string &instance, std::vector<CustomerUsage> usages,
                         TimePoint now);
    // The sums of the region, by the instance that makes them.
    RegionUsage aggregateRegion(TimePoint now);
    void onRegionUsage(const RegionUsage &use, TimePoint now);
    // The sums of all regions that still count.
    std::vector<RegionUsage> regionUsages(TimePoint now);

    // Whether any customer has a cap.
    bool hasCaps();
    // Whether some customer is near its cap, so that news must not wait.
    bool isNearAnyCap(TimePoint now);

    struct CustomerState
    {
        std::string name;
        UsageCap cap;
        double requested = 0; // per second, by all instances that are heard
        double consumed = 0;
        double level = 0;
        bool operator==(const CustomerState &) const = default;
    };
    std::vector<CustomerState> states(TimePoint now);

private:
    // An exponentially weighted average, in units a second.
    struct Rate
    {
        double perSecond = 0;
        TimePoint at{};

        void add(double amount, Duration rateTimeConstant, TimePoint now);
        double value(Duration rateTimeConstant, TimePoint now) const;
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
        Rate requests; // here, whatever they count
        Rate requested; // here
        Rate admitted; // here, by the cap
        Rate consumed; // here; of what admitted, what was not refused for other reasons
        std::map<std::string, RegionTotal> regions; // by name
        double level = 0;
        TimePoint levelAt{};
        double localLevel = 0; // while this instance is on its own
        TimePoint localLevelAt{};
    };

    struct InstanceUsage
    {
        std::vector<CustomerUsage> customers;
        TimePoint at{};
    };

    // What is known of all instances together.
    struct FleetUsage
    {
        double requested = 0; // by those that are heard
        double consumed = 0;
        double available = 0; // of the cap, for those that are heard
        std::optional<TimePoint> localRegionAt; // when the own region was summed up
    };

    double rateOf(const Rate &rate, TimePoint now) const;
    Account *find(const std::string &customer);
    double weightOf(const RegionTotal &sum, TimePoint now) const;
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
    std::map<std::string, InstanceUsage> m_instances; // of the region
};

} // namespace ibisnotch
