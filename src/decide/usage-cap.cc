#include "ibisnotch/usage-cap.h"

#include <algorithm>
#include <cmath>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

// Share of the cap above which usage is reported without delay.
constexpr double nearCapShare = 0.8;
// Share of the burst that is granted when all regions are known. The rest, and the slack that the
// platform tolerates, covers what is admitted before updates about a customer's first burst arrive,
// and by both sides of a partition until they detect it.
constexpr double grantableBurstShare = 0.2;
// Share of the slack that is granted. The rest covers requests that several instances admit at the
// same time without knowing of each other.
constexpr double grantableSlackShare = 0.15;
// Part of a region's share that is reserved for it if no totals of it arrived since this instance
// started. After a restart of all instances, the regions know each other only after a second or
// two; the part of the cap that was not used while all were down makes up for the lower reserve.
constexpr double startupReserveShare = 0.5;
// Burst of an instance that decides from its own share, in seconds of that share.
constexpr double localBurstSeconds = 1;

double decay(double value, Duration age, Duration timeConstant)
{
    return value * std::exp(-seconds(age) / seconds(timeConstant));
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

void UsageCaps::Rate::add(double amount, Duration timeConstant, TimePoint now)
{
    perSecond = value(timeConstant, now) + amount / seconds(timeConstant);
    at = now;
}

double UsageCaps::Rate::value(Duration timeConstant, TimePoint now) const
{
    return decay(perSecond, std::max(now - at, Duration(0)), timeConstant);
}

// Returns the rate, corrected if the instance has run for less than the averaging time. Its rates
// would otherwise be too low, in particular after a restart of all instances, when all callers
// return at once.
double UsageCaps::rateOf(const Rate &rate, TimePoint now) const
{
    constexpr double minCoveredShare = 0.6;
    const Duration age = m_startedAt ? now - *m_startedAt : m_limits.startupTime;
    const double coveredShare = 1 - std::exp(-seconds(age) / seconds(m_limits.rateTimeConstant));
    return std::max(0.0, rate.value(m_limits.rateTimeConstant, now))
        / std::max(coveredShare, minCoveredShare);
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
        const bool isNew = old == m_accounts.end();
        account.level = isNew ? grantableSlackShare * m_limits.slack
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

// Returns the share of a cap that is reserved for a region whose totals do not arrive. It is the
// same for all regions: shares by the last known usage would differ between the sides of a
// partition and could add up to more than the cap.
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

// Returns the weight of a region's totals by their age, from 1 to 0. Near a cap they arrive ten
// times per second; with full weight up to the maximum age, both sides of a partition would use the
// whole cap for that long.
double UsageCaps::weightOf(const RegionTotal &total, TimePoint now) const
{
    const Duration age = now - total.at;
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

// Returns the amount that may be admitted at once in addition to the cap. With a small cap most of
// it comes from the slack, which admits a request that takes a third of a second's cap or more.
double UsageCaps::grantableBurst(const UsageCap &cap) const
{
    return grantableBurstShare * cap.burst + grantableSlackShare * m_limits.slack;
}

// Adds the unused part of the cap to the level, up to the grantable burst, and subtracts what was
// admitted above the cap because updates arrive late.
void UsageCaps::updateLevel(Account &account, const FleetUsage &fleet, TimePoint now) const
{
    if (account.levelAt != TimePoint{}) {
        const double time = seconds(std::max(now - account.levelAt, Duration(0)));
        const double minLevel = -m_limits.maxOverdraftSeconds * account.cap.perSecond;
        // A share of the burst, too, is reserved for regions whose totals do not arrive.
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

// Without totals of its region this instance stays within its own share, which it may overdraw by
// one request, as a share may be smaller than any request. It may not do so during startup: after a
// restart of all instances, each of them would.
UsageDecision UsageCaps::decideFromLocalShare(Account &account, double amount, double draw,
                                              TimePoint now) const
{
    UsageDecision decision;
    const double share
        = account.cap.perSecond * regionShare() / static_cast<double>(effectiveInstanceCount(now));
    if (account.localLevelAt == TimePoint{})
        account.localLevel = share * localBurstSeconds;
    else
        account.localLevel += share * seconds(std::max(now - account.localLevelAt, Duration(0)));
    account.localLevel = std::min(account.localLevel, share * localBurstSeconds);
    account.localLevelAt = now;
    decision.requested = rateOf(account.requested, now);
    decision.limit = share;
    decision.level = account.localLevel;
    decision.fits = isStarting(now) ? draw * amount < account.localLevel : account.localLevel > 0;
    if (decision.fits)
        account.localLevel -= amount;
    else
        decision.retryAfter = toDuration(-account.localLevel / std::max(1.0, share));
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
    account->requestCount.add(1, m_limits.rateTimeConstant, now);
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
    // Omits customers with almost no usage, so that the message length depends on active customers.
    std::erase_if(usages, [](const CustomerUsage &usage) {
        return usage.requested < 1 && usage.consumed < 1;
    });
    return usages;
}

void UsageCaps::onInstanceUsage(const std::string &instance, std::vector<CustomerUsage> usages,
                                TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_instances[instance] = {std::move(usages), now};
}

// Returns the usage assumed for instances of the region whose reports do not arrive: their whole
// share.
std::vector<CustomerUsage> UsageCaps::unreachableUsage(TimePoint now) const
{
    const std::size_t reporting = m_instances.size() + 1;
    const std::size_t count = effectiveInstanceCount(now);
    if (count <= reporting)
        return {};
    const double share = static_cast<double>(count - reporting) / static_cast<double>(count);
    std::vector<CustomerUsage> usages;
    for (const auto &[id, account] : m_accounts) {
        const auto usage = static_cast<float>(share * account.cap.perSecond * regionShare());
        usages.push_back({id, usage, usage});
    }
    return usages;
}

RegionUsage UsageCaps::aggregateRegion(TimePoint now)
{
    const std::vector<CustomerUsage> own = localUsage(now);
    const std::lock_guard lock(m_mutex);
    std::map<std::uint32_t, CustomerUsage> sums;
    const auto add = [&sums](const CustomerUsage &usage) {
        CustomerUsage &total = sums[usage.customer];
        total.customer = usage.customer;
        total.requested += usage.requested;
        total.consumed += usage.consumed;
    };
    for (const CustomerUsage &usage : own)
        add(usage);
    std::erase_if(m_instances,
                  [&](const auto &entry) { return now - entry.second.at > m_limits.usageMaxAge; });
    for (const auto &[instance, reported] : m_instances) {
        for (const CustomerUsage &usage : reported.customers)
            add(usage);
    }
    for (const CustomerUsage &usage : unreachableUsage(now))
        add(usage);
    RegionUsage result{m_scope.region, 0, {}};
    for (const auto &[id, total] : sums)
        result.customers.push_back(total);
    return result;
}

void UsageCaps::onRegionUsage(const RegionUsage &usage, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint at = now - std::chrono::milliseconds(usage.ageMs);
    for (auto &[id, account] : m_accounts) {
        RegionTotal &total = account.regions[usage.region];
        if (at < total.at)
            continue;
        const auto found
            = std::find_if(usage.customers.begin(), usage.customers.end(),
                           [id = id](const CustomerUsage &entry) { return entry.customer == id; });
        const bool isPresent = found != usage.customers.end();
        total = {isPresent ? found->requested : 0.0, isPresent ? found->consumed : 0.0, at};
    }
}

std::vector<RegionUsage> UsageCaps::regionUsages(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<RegionUsage> result;
    for (const std::string &region : m_scope.regions) {
        RegionUsage usage{region, 0, {}};
        bool known = false;
        for (const auto &[id, account] : m_accounts) {
            const auto found = account.regions.find(region);
            if (found == account.regions.end() || weightOf(found->second, now) <= 0)
                continue;
            known = true;
            const RegionTotal &total = found->second;
            usage.ageMs = ageInMs(total.at, now);
            if (total.requested > 0 || total.consumed > 0)
                usage.customers.push_back(
                    {id, static_cast<float>(total.requested), static_cast<float>(total.consumed)});
        }
        if (known)
            result.push_back(std::move(usage));
    }
    return result;
}

// Returns the part of the admitted amount that was not rejected for another reason. Requests that
// would be rejected anyway must not count against the cap; otherwise a customer would get less than
// its cap when backend servers are short.
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

// Assumes that all other instances receive as much as this one, apart from the few requests that
// may coincide by chance. This is the earliest sign of a burst that reaches all instances.
double UsageCaps::estimatedFleetDemand(const Account &account, TimePoint now) const
{
    constexpr double maxRequestsByChance = 3;
    const double requestRate = rateOf(account.requestCount, now);
    if (requestRate <= maxRequestsByChance)
        return 0;
    const double here = rateOf(account.requested, now) * (1 - maxRequestsByChance / requestRate);
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
