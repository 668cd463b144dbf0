#include "ibisnotch/usage-cap.h"

#include <algorithm>
#include <cmath>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

// Of the cap; from here on news of its use must not wait.
constexpr double nearCapShare = 0.8;
// Of the burst. The rest of it, and what the platform tolerates over a cap, is given out before
// news of a customer's first burst arrives, and by both sides of a cut until they notice it.
constexpr double grantableBurstShare = 0.2;
// Of the slack; the rest is for requests that meet while nobody knows of the others'.
constexpr double grantableSlackShare = 0.15;
// Of the part of a region that has not been heard since this instance started. After the loss of
// all it takes a second or two until the regions know each other again, and what nobody gave out
// while all were away makes up for it.
constexpr double startupReserveShare = 0.5;
// Of the cap, in seconds of it, kept by an instance on its own for a caller's first requests.
constexpr double localBurstSeconds = 1;

double decay(double value, Duration age, Duration rateTimeConstant)
{
    return value * std::exp(-seconds(age) / seconds(rateTimeConstant));
}

Duration toDuration(double time)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time));
}

} // namespace

std::uint32_t customerId(std::string_view name)
{
    return static_cast<std::uint32_t>(hash64(name));
}

void UsageCaps::Rate::add(double amount, Duration rateTimeConstant, TimePoint now)
{
    perSecond = value(rateTimeConstant, now) + amount / seconds(rateTimeConstant);
    at = now;
}

double UsageCaps::Rate::value(Duration rateTimeConstant, TimePoint now) const
{
    return decay(perSecond, std::max(now - at, Duration(0)), rateTimeConstant);
}

// An instance that has just started knows a part of the rateTimeConstant time only, and its rates
// would be too low just when all begin anew and their callers come back together.
double UsageCaps::rateOf(const Rate &rate, TimePoint now) const
{
    constexpr double minKnownShare = 0.6;
    const Duration age = m_startedAt ? now - *m_startedAt : m_limits.startupTime;
    const double known = 1 - std::exp(-seconds(age) / seconds(m_limits.rateTimeConstant));
    return std::max(0.0, rate.value(m_limits.rateTimeConstant, now))
        / std::max(known, minKnownShare);
}

void UsageCaps::setCaps(const std::map<std::string, Customer> &customers)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::uint32_t, Account> accounts;
    for (const auto &[name, customer] : customers) {
        if (!customer.usageCap)
            continue;
        const std::uint32_t id = customerId(name);
        const auto old = m_accounts.find(id);
        Account account = old == m_accounts.end() ? Account{} : std::move(old->second);
        account.name = name;
        account.cap = *customer.usageCap;
        const bool fresh = old == m_accounts.end();
        account.level = fresh ? grantableSlackShare * m_limits.slack
                              : std::min(account.level, grantableBurst(account.cap));
        accounts.emplace(id, std::move(account));
    }
    m_accounts = std::move(accounts);
}

void UsageCaps::setScope(UsageScope scope, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (!m_startedAt)
        m_startedAt = now;
    m_scope = std::move(scope);
}

UsageCaps::Account *UsageCaps::find(const std::string &customer)
{
    const auto found = m_accounts.find(customerId(customer));
    return found == m_accounts.end() ? nullptr : &found->second;
}

// The part of a cap that is a region's while it is not heard. The same for all: what each last knew
// of the others' use differs between the sides of a cut, and parts that go by it add up to more
// than the fleet.
double UsageCaps::regionShare() const
{
    return 1 / static_cast<double>(std::max<std::size_t>(m_scope.regions.size(), 1));
}

bool UsageCaps::isStarting(TimePoint now) const
{
    return !m_startedAt || now - *m_startedAt < m_limits.startupTime;
}

std::size_t UsageCaps::effectiveInstanceCount(TimePoint now) const
{
    const std::size_t count = std::max<std::size_t>(m_scope.instanceCount, 1);
    return isStarting(now) ? std::max(count, m_limits.minInstancesAtStartup) : count;
}

// How far a region's sums still count. While some customer is near its cap they come ten times a
// second; trusted in full until they are too old, both sides of a cut would use the fleetUsage so
// long.
double UsageCaps::weightOf(const RegionTotal &sum, TimePoint now) const
{
    const Duration age = now - sum.at;
    const Duration late = age - m_limits.usageFreshFor;
    return 1
        - std::clamp(seconds(late) / seconds(m_limits.usageMaxAge - m_limits.usageFreshFor), 0.0,
                     1.0);
}

UsageCaps::FleetUsage UsageCaps::fleetUsage(const Account &account, TimePoint now) const
{
    FleetUsage fleet;
    double unreachableShare = 0;
    for (const std::string &region : m_scope.regions) {
        const auto found = account.regions.find(region);
        const bool never = found == account.regions.end();
        const double weight = never ? 0 : weightOf(found->second, now);
        unreachableShare
            += (1 - weight) * regionShare() * (never && isStarting(now) ? startupReserveShare : 1);
        if (weight <= 0)
            continue;
        fleet.requested += weight * found->second.requested;
        fleet.consumed += weight * found->second.consumed;
        if (region == m_scope.region)
            fleet.localRegionAt = found->second.at;
    }
    fleet.available = account.cap.perSecond * (1 - unreachableShare);
    return fleet;
}

// What may be given out at once beside the cap. With a small cap the slack is the larger part, and
// lets a request through that takes a third of a second's cap or more.
double UsageCaps::grantableBurst(const UsageCap &cap) const
{
    return grantableBurstShare * cap.burst + grantableSlackShare * m_limits.slack;
}

// What is not used of the cap is saved up to its burst; what was given beyond it, since news takes
// its time, is consumed back.
void UsageCaps::updateLevel(Account &account, const FleetUsage &fleet, TimePoint now) const
{
    if (account.levelAt != TimePoint{}) {
        const double time = seconds(std::max(now - account.levelAt, Duration(0)));
        const double minLevel = -m_limits.maxOverdraftSeconds * account.cap.perSecond;
        // Of the burst, too, a part is available to those that are not heard.
        const double burst = grantableBurst(account.cap) * fleet.available / account.cap.perSecond;
        account.level = std::clamp(account.level + (fleet.available - fleet.consumed) * time,
                                   minLevel, burst);
    }
    account.levelAt = now;
}

UsageDecision UsageCaps::decideFromFleetUsage(Account &account, const FleetUsage &fleet,
                                              double amount, double draw, TimePoint now) const
{
    UsageDecision decision;
    decision.requested = fleet.requested;
    decision.level = account.level;
    decision.limit
        = std::max(0.0, fleet.available + account.level / seconds(m_limits.levelCorrectionTime));
    decision.regionUsageAge = now - *fleet.localRegionAt;
    decision.fits = fleet.requested <= decision.limit || draw * fleet.requested < decision.limit;
    if (!decision.fits)
        decision.retryAfter
            = toDuration((amount + std::max(0.0, -account.level)) / std::max(1.0, fleet.available));
    return decision;
}

// Nobody else's use is known, so this instance keeps to its own part, and may overdraw it by one
// request: a part may be less than any request takes. But not just after its start, where all may
// have started and each would.
UsageDecision UsageCaps::decideFromLocalShare(Account &account, double amount, double draw,
                                              TimePoint now) const
{
    UsageDecision decision;
    const double part
        = account.cap.perSecond * regionShare() / static_cast<double>(effectiveInstanceCount(now));
    if (account.localLevelAt == TimePoint{})
        account.localLevel = part * localBurstSeconds;
    else
        account.localLevel += part * seconds(std::max(now - account.localLevelAt, Duration(0)));
    account.localLevel = std::min(account.localLevel, part * localBurstSeconds);
    account.localLevelAt = now;
    decision.requested = rateOf(account.requested, now);
    decision.limit = part;
    decision.level = account.localLevel;
    decision.fits = isStarting(now) ? draw * amount < account.localLevel : account.localLevel > 0;
    if (decision.fits)
        account.localLevel -= amount;
    else
        decision.retryAfter = toDuration(-account.localLevel / std::max(1.0, part));
    return decision;
}

UsageDecision UsageCaps::admit(const Customer &customer, double amount, double draw, TimePoint now)
{
    if (!customer.usageCap)
        return {};
    const std::lock_guard lock(m_mutex);
    Account *account = find(customer.name);
    if (account == nullptr)
        return {};
    account->requests.add(1, m_limits.rateTimeConstant, now);
    account->requested.add(amount, m_limits.rateTimeConstant, now);
    const FleetUsage fleet = fleetUsage(*account, now);
    const UsageDecision decision = fleet.localRegionAt
        ? decideFromFleetUsage(*account, fleet, amount, draw, now)
        : decideFromLocalShare(*account, amount, draw, now);
    if (decision.fits) {
        account->consumed.add(amount, m_limits.rateTimeConstant, now);
        account->admitted.add(amount, m_limits.rateTimeConstant, now);
    }
    return decision;
}

void UsageCaps::release(const std::string &customer, double amount, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    Account *account = find(customer);
    if (account == nullptr)
        return;
    account->consumed.add(-amount, m_limits.rateTimeConstant, now);
    account->localLevel += amount;
}

void UsageCaps::tick(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[id, account] : m_accounts)
        updateLevel(account, fleetUsage(account, now), now);
}

std::vector<CustomerUsage> UsageCaps::localUsage(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<CustomerUsage> usages;
    for (const auto &[id, account] : m_accounts) {
        const double consumed = rateOf(account.consumed, now);
        const double requested = rateOf(account.requested, now) * executedShare(account, now);
        usages.push_back({id, static_cast<float>(requested), static_cast<float>(consumed)});
    }
    // What is next to nothing is available out: the message is as short as few customers are busy.
    std::erase_if(usages,
                  [](const CustomerUsage &use) { return use.requested < 1 && use.consumed < 1; });
    return usages;
}

void UsageCaps::onInstanceUsage(const std::string &instance, std::vector<CustomerUsage> usages,
                                TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_instances[instance] = {std::move(usages), now};
}

// Instances of the region that are not heard keep to their own part, and may be using all of it.
std::vector<CustomerUsage> UsageCaps::unreachableUsage(TimePoint now) const
{
    const std::size_t heard = m_instances.size() + 1;
    const std::size_t count = effectiveInstanceCount(now);
    if (count <= heard)
        return {};
    const double part = static_cast<double>(count - heard) / static_cast<double>(count);
    std::vector<CustomerUsage> usages;
    for (const auto &[id, account] : m_accounts) {
        const auto use = static_cast<float>(part * account.cap.perSecond * regionShare());
        usages.push_back({id, use, use});
    }
    return usages;
}

RegionUsage UsageCaps::aggregateRegion(TimePoint now)
{
    const std::vector<CustomerUsage> own = localUsage(now);
    const std::lock_guard lock(m_mutex);
    std::map<std::uint32_t, CustomerUsage> sums;
    const auto add = [&sums](const CustomerUsage &use) {
        CustomerUsage &sum = sums[use.customer];
        sum.customer = use.customer;
        sum.requested += use.requested;
        sum.consumed += use.consumed;
    };
    for (const CustomerUsage &use : own)
        add(use);
    std::erase_if(m_instances,
                  [&](const auto &entry) { return now - entry.second.at > m_limits.usageMaxAge; });
    for (const auto &[instance, reported] : m_instances) {
        for (const CustomerUsage &use : reported.customers)
            add(use);
    }
    for (const CustomerUsage &use : unreachableUsage(now))
        add(use);
    RegionUsage result{m_scope.region, 0, {}};
    for (const auto &[id, sum] : sums)
        result.customers.push_back(sum);
    return result;
}

void UsageCaps::onRegionUsage(const RegionUsage &use, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint at = now - std::chrono::milliseconds(use.ageMs);
    for (auto &[id, account] : m_accounts) {
        RegionTotal &sum = account.regions[use.region];
        if (at < sum.at)
            continue;
        const auto found
            = std::find_if(use.customers.begin(), use.customers.end(),
                           [id = id](const CustomerUsage &one) { return one.customer == id; });
        const bool used = found != use.customers.end();
        sum = {used ? found->requested : 0.0, used ? found->consumed : 0.0, at};
    }
}

std::vector<RegionUsage> UsageCaps::regionUsages(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<RegionUsage> result;
    for (const std::string &region : m_scope.regions) {
        RegionUsage use{region, 0, {}};
        bool known = false;
        for (const auto &[id, account] : m_accounts) {
            const auto found = account.regions.find(region);
            if (found == account.regions.end() || weightOf(found->second, now) <= 0)
                continue;
            known = true;
            const RegionTotal &sum = found->second;
            use.ageMs = ageInMs(sum.at, now);
            if (sum.requested > 0 || sum.consumed > 0)
                use.customers.push_back(
                    {id, static_cast<float>(sum.requested), static_cast<float>(sum.consumed)});
        }
        if (known)
            result.push_back(std::move(use));
    }
    return result;
}

// Of what this instance let pass, the part that was not refused for other reasons. What would be
// refused anyway is not requested of the cap; counted in, a customer got less than its cap wherever
// servers were short.
double UsageCaps::executedShare(const Account &account, TimePoint now) const
{
    constexpr double minShare = 0.2;
    const double admitted = rateOf(account.admitted, now);
    return admitted > 0 ? std::clamp(rateOf(account.consumed, now) / admitted, minShare, 1.0) : 1;
}

bool UsageCaps::hasCaps()
{
    const std::lock_guard lock(m_mutex);
    return !m_accounts.empty();
}

// The others are consumed to see as much as this instance does, beyond the few requests that chance
// may bring together: where a burst reaches all, that is its first sign.
double UsageCaps::estimatedFleetDemand(const Account &account, TimePoint now) const
{
    constexpr double maxRequestsByChance = 3;
    const double requests = rateOf(account.requests, now);
    if (requests <= maxRequestsByChance)
        return 0;
    const double here = rateOf(account.requested, now) * (1 - maxRequestsByChance / requests);
    const std::size_t all
        = m_scope.instanceCount * std::max<std::size_t>(m_scope.regions.size(), 1);
    return here * static_cast<double>(all);
}

bool UsageCaps::isNearAnyCap(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_accounts.begin(), m_accounts.end(), [&](const auto &entry) {
        const Account &account = entry.second;
        const double limit = nearCapShare * account.cap.perSecond;
        return fleetUsage(account, now).requested > limit
            || estimatedFleetDemand(account, now) > limit;
    });
}

std::vector<UsageCaps::CustomerState> UsageCaps::states(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<CustomerState> result;
    for (const auto &[id, account] : m_accounts) {
        const FleetUsage fleet = fleetUsage(account, now);
        result.push_back(
            {account.name, account.cap, fleet.requested, fleet.consumed, account.level});
    }
    return result;
}

} // namespace ibisnotch
