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
struct CustomerUse
{
    std::uint32_t customer = 0; // customerId of its name
    float asked = 0; // per second
    float taken = 0; // per second, of what was asked

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(customer, asked, taken);
    }
    bool operator==(const CustomerUse &) const = default;
};

struct RegionUse
{
    std::string region;
    std::uint32_t ageMs = 0; // when sent
    std::vector<CustomerUse> uses;

    template <typename Archive> void serialize(Archive &archive) { archive(region, ageMs, uses); }
    bool operator==(const RegionUse &) const = default;
};

std::uint32_t customerId(std::string_view name);

struct UsageAnswer
{
    bool fits = true;
    Duration retryAfter{}; // until the cap has room, if it does not fit
    // What decided, for the log.
    double asked = 0; // per second, by all instances
    double limit = 0; // per second, of what is given now
    double level = 0; // left of the burst; below zero: overdrawn
    std::optional<Duration> newsAge; // of the region's sums; none: this instance is on its own
    bool operator==(const UsageAnswer &) const = default;
};

// Where an instance stands among those that share the caps.
struct UsagePlace
{
    std::string region;
    std::vector<std::string> regions; // of the deployment, this one included
    std::size_t instances = 1; // of the region that may be taking requests
    bool operator==(const UsagePlace &) const = default;
};

// While an instance hears from all regions, each request has the same chance everywhere: the part
// of what all ask for that the cap leaves room for. So nobody is refused below the cap, however
// uneven the callers spread. Of a region that is not heard a part of each cap is left to it, and an
// instance that hears nobody keeps to its own part: whichever cannot see each other stay within the
// cap together. Thread safe.
class UsageCaps
{
public:
    struct Limits
    {
        Duration averaged = std::chrono::milliseconds(500); // time constant of rates
        Duration newsLate = std::chrono::milliseconds(400); // from here on sums count ever less
        // Older sums no longer count. Four times the period in which they are told, so that three
        // in a row may be lost; until it is over, both sides of a cut use the whole.
        Duration newsLife = std::chrono::seconds(1);
        // In which what is left of the burst is given out, or an overdraft taken back. News takes
        // up to half of that.
        Duration settled = std::chrono::seconds(1);
        // An instance that has just started does not know yet how many others there are.
        Duration membersKnownAfter = std::chrono::seconds(2);
        std::size_t instancesUntilKnown = 64;
        double slack = 0; // units over any cap that the platform tolerates, beside its burst
        double deepest = 2; // overdraft that is remembered, in seconds of the cap
    };

    UsageCaps() : UsageCaps(Limits{}) { }
    explicit UsageCaps(Limits limits) : m_limits(limits) { }

    // The caps in force. A level above a lowered burst is cut to it.
    void setCaps(const std::map<std::string, Customer> &customers);
    void setPlace(UsagePlace place, TimePoint now);

    // Whether a request of this amount fits; counts it if so. `draw` is a random number in [0, 1).
    UsageAnswer ask(const Customer &customer, double amount, double draw, TimePoint now);
    // A request that was counted has not run.
    void giveBack(const std::string &customer, double amount, TimePoint now);

    // Several times a second: settles levels.
    void tick(TimePoint now);

    // What this instance tells the one that sums up its region, and what that one heard.
    std::vector<CustomerUse> ownUse(TimePoint now);
    void onInstanceUse(const std::string &instance, std::vector<CustomerUse> uses, TimePoint now);
    // The sums of the region, by the instance that makes them.
    RegionUse sumUp(TimePoint now);
    void onRegionUse(const RegionUse &use, TimePoint now);
    // The sums of all regions that still count.
    std::vector<RegionUse> regionUses(TimePoint now);

    // Whether any customer has a cap.
    bool inUse();
    // Whether some customer is near its cap, so that news must not wait.
    bool pressed(TimePoint now);

    struct CustomerState
    {
        std::string name;
        UsageCap cap;
        double asked = 0; // per second, by all instances that are heard
        double taken = 0;
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

        void add(double amount, Duration averaged, TimePoint now);
        double value(Duration averaged, TimePoint now) const;
    };

    struct Sum
    {
        double asked = 0;
        double taken = 0;
        TimePoint at{};
    };

    struct Account
    {
        std::string name;
        UsageCap cap;
        Rate requests; // here, whatever they count
        Rate asked; // here
        Rate passed; // here, by the cap
        Rate taken; // here; of what passed, what was not refused for other reasons
        std::map<std::string, Sum> regions; // by name
        double level = 0;
        TimePoint levelAt{};
        double ownLevel = 0; // while this instance is on its own
        TimePoint ownLevelAt{};
    };

    struct InstanceUse
    {
        std::vector<CustomerUse> uses;
        TimePoint at{};
    };

    // What is known of all instances together.
    struct Whole
    {
        double asked = 0; // by those that are heard
        double taken = 0;
        double left = 0; // of the cap, for those that are heard
        std::optional<TimePoint> regionAt; // when the own region was summed up
    };

    double rateOf(const Rate &rate, TimePoint now) const;
    Account *find(const std::string &customer);
    double trust(const Sum &sum, TimePoint now) const;
    double regionPart() const;
    double savedBurst(const UsageCap &cap) const;
    double ranPart(const Account &account, TimePoint now) const;
    bool starting(TimePoint now) const;
    std::size_t instances(TimePoint now) const;
    std::vector<CustomerUse> unheardUse(TimePoint now) const;
    double guessedWhole(const Account &account, TimePoint now) const;
    Whole whole(const Account &account, TimePoint now) const;
    void settle(Account &account, const Whole &whole, TimePoint now) const;
    UsageAnswer askAll(Account &account, const Whole &whole, double amount, double draw,
                       TimePoint now) const;
    UsageAnswer askAlone(Account &account, double amount, double draw, TimePoint now) const;

    Limits m_limits;
    std::mutex m_mutex;
    UsagePlace m_place;
    std::optional<TimePoint> m_startedAt;
    std::map<std::uint32_t, Account> m_accounts; // of customers with a cap, by customerId
    std::map<std::string, InstanceUse> m_instances; // of the region
};

} // namespace ibisnotch
