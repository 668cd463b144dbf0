#include "ibisnotch/usage-cap.h"

#include <algorithm>
#include <cmath>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

// Of the cap; from here on news of its use must not wait.
constexpr double nearCap = 0.8;
// Of the burst. The rest of it, and what the platform tolerates over a cap, is given out before
// news of a customer's first burst arrives, and by both sides of a cut until they notice it.
constexpr double burstSaved = 0.2;
// Of the slack; the rest is for requests that meet while nobody knows of the others'.
constexpr double slackSaved = 0.15;
// Of the part of a region that has not been heard since this instance started. After the loss of
// all it takes a second or two until the regions know each other again, and what nobody gave out
// while all were away makes up for it.
constexpr double leftAtStart = 0.5;
// Of the cap, in seconds of it, kept by an instance on its own for a caller's first requests.
constexpr double ownBurst = 1;

double decayed(double value, Duration age, Duration averaged)
{
    return value * std::exp(-seconds(age) / seconds(averaged));
}

Duration inSeconds(double time)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time));
}

} // namespace

std::uint32_t customerId(std::string_view name)
{
    return static_cast<std::uint32_t>(hash64(name));
}

void UsageCaps::Rate::add(double amount, Duration averaged, TimePoint now)
{
    perSecond = value(averaged, now) + amount / seconds(averaged);
    at = now;
}

double UsageCaps::Rate::value(Duration averaged, TimePoint now) const
{
    return decayed(perSecond, std::max(now - at, Duration(0)), averaged);
}

// An instance that has just started knows a part of the averaged time only, and its rates would be
// too low just when all begin anew and their callers come back together.
double UsageCaps::rateOf(const Rate &rate, TimePoint now) const
{
    constexpr double leastKnown = 0.6;
    const Duration age = m_startedAt ? now - *m_startedAt : m_limits.membersKnownAfter;
    const double known = 1 - std::exp(-seconds(age) / seconds(m_limits.averaged));
    return std::max(0.0, rate.value(m_limits.averaged, now)) / std::max(known, leastKnown);
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
        account.level = fresh ? slackSaved * m_limits.slack
                              : std::min(account.level, savedBurst(account.cap));
        accounts.emplace(id, std::move(account));
    }
    m_accounts = std::move(accounts);
}

void UsageCaps::setPlace(UsagePlace place, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (!m_startedAt)
        m_startedAt = now;
    m_place = std::move(place);
}

UsageCaps::Account *UsageCaps::find(const std::string &customer)
{
    const auto found = m_accounts.find(customerId(customer));
    return found == m_accounts.end() ? nullptr : &found->second;
}

// The part of a cap that is a region's while it is not heard. The same for all: what each last knew
// of the others' use differs between the sides of a cut, and parts that go by it add up to more
// than the whole.
double UsageCaps::regionPart() const
{
    return 1 / static_cast<double>(std::max<std::size_t>(m_place.regions.size(), 1));
}

bool UsageCaps::starting(TimePoint now) const
{
    return !m_startedAt || now - *m_startedAt < m_limits.membersKnownAfter;
}

std::size_t UsageCaps::instances(TimePoint now) const
{
    const std::size_t count = std::max<std::size_t>(m_place.instances, 1);
    return starting(now) ? std::max(count, m_limits.instancesUntilKnown) : count;
}

// How far a region's sums still count. While some customer is near its cap they come ten times a
// second; trusted in full until they are too old, both sides of a cut would use the whole so long.
double UsageCaps::trust(const Sum &sum, TimePoint now) const
{
    const Duration age = now - sum.at;
    const Duration late = age - m_limits.newsLate;
    return 1 - std::clamp(seconds(late) / seconds(m_limits.newsLife - m_limits.newsLate), 0.0, 1.0);
}

UsageCaps::Whole UsageCaps::whole(const Account &account, TimePoint now) const
{
    Whole whole;
    double unheard = 0;
    for (const std::string &region : m_place.regions) {
        const auto found = account.regions.find(region);
        const bool never = found == account.regions.end();
        const double heard = never ? 0 : trust(found->second, now);
        unheard += (1 - heard) * regionPart() * (never && starting(now) ? leftAtStart : 1);
        if (heard <= 0)
            continue;
        whole.asked += heard * found->second.asked;
        whole.taken += heard * found->second.taken;
        if (region == m_place.region)
            whole.regionAt = found->second.at;
    }
    whole.left = account.cap.perSecond * (1 - unheard);
    return whole;
}

// What may be given out at once beside the cap. With a small cap the slack is the larger part, and
// lets a request through that takes a third of a second's cap or more.
double UsageCaps::savedBurst(const UsageCap &cap) const
{
    return burstSaved * cap.burst + slackSaved * m_limits.slack;
}

// What is not used of the cap is saved up to its burst; what was given beyond it, since news takes
// its time, is taken back.
void UsageCaps::settle(Account &account, const Whole &whole, TimePoint now) const
{
    if (account.levelAt != TimePoint{}) {
        const double time = seconds(std::max(now - account.levelAt, Duration(0)));
        const double deepest = -m_limits.deepest * account.cap.perSecond;
        // Of the burst, too, a part is left to those that are not heard.
        const double burst = savedBurst(account.cap) * whole.left / account.cap.perSecond;
        account.level
            = std::clamp(account.level + (whole.left - whole.taken) * time, deepest, burst);
    }
    account.levelAt = now;
}

UsageAnswer UsageCaps::askAll(Account &account, const Whole &whole, double amount, double draw,
                              TimePoint now) const
{
    UsageAnswer answer;
    answer.asked = whole.asked;
    answer.level = account.level;
    answer.limit = std::max(0.0, whole.left + account.level / seconds(m_limits.settled));
    answer.newsAge = now - *whole.regionAt;
    answer.fits = whole.asked <= answer.limit || draw * whole.asked < answer.limit;
    if (!answer.fits)
        answer.retryAfter
            = inSeconds((amount + std::max(0.0, -account.level)) / std::max(1.0, whole.left));
    return answer;
}

// Nobody else's use is known, so this instance keeps to its own part, and may overdraw it by one
// request: a part may be less than any request takes. But not just after its start, where all may
// have started and each would.
UsageAnswer UsageCaps::askAlone(Account &account, double amount, double draw, TimePoint now) const
{
    UsageAnswer answer;
    const double part = account.cap.perSecond * regionPart() / static_cast<double>(instances(now));
    if (account.ownLevelAt == TimePoint{})
        account.ownLevel = part * ownBurst;
    else
        account.ownLevel += part * seconds(std::max(now - account.ownLevelAt, Duration(0)));
    account.ownLevel = std::min(account.ownLevel, part * ownBurst);
    account.ownLevelAt = now;
    answer.asked = rateOf(account.asked, now);
    answer.limit = part;
    answer.level = account.ownLevel;
    answer.fits = starting(now) ? draw * amount < account.ownLevel : account.ownLevel > 0;
    if (answer.fits)
        account.ownLevel -= amount;
    else
        answer.retryAfter = inSeconds(-account.ownLevel / std::max(1.0, part));
    return answer;
}

UsageAnswer UsageCaps::ask(const Customer &customer, double amount, double draw, TimePoint now)
{
    if (!customer.usageCap)
        return {};
    const std::lock_guard lock(m_mutex);
    Account *account = find(customer.name);
    if (account == nullptr)
        return {};
    account->requests.add(1, m_limits.averaged, now);
    account->asked.add(amount, m_limits.averaged, now);
    const Whole all = whole(*account, now);
    const UsageAnswer answer = all.regionAt ? askAll(*account, all, amount, draw, now)
                                            : askAlone(*account, amount, draw, now);
    if (answer.fits) {
        account->taken.add(amount, m_limits.averaged, now);
        account->passed.add(amount, m_limits.averaged, now);
    }
    return answer;
}

void UsageCaps::giveBack(const std::string &customer, double amount, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    Account *account = find(customer);
    if (account == nullptr)
        return;
    account->taken.add(-amount, m_limits.averaged, now);
    account->ownLevel += amount;
}

void UsageCaps::tick(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[id, account] : m_accounts)
        settle(account, whole(account, now), now);
}

std::vector<CustomerUse> UsageCaps::ownUse(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<CustomerUse> uses;
    for (const auto &[id, account] : m_accounts) {
        const double taken = rateOf(account.taken, now);
        const double asked = rateOf(account.asked, now) * ranPart(account, now);
        uses.push_back({id, static_cast<float>(asked), static_cast<float>(taken)});
    }
    // What is next to nothing is left out: the message is as short as few customers are busy.
    std::erase_if(uses, [](const CustomerUse &use) { return use.asked < 1 && use.taken < 1; });
    return uses;
}

void UsageCaps::onInstanceUse(const std::string &instance, std::vector<CustomerUse> uses,
                              TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_instances[instance] = {std::move(uses), now};
}

// Instances of the region that are not heard keep to their own part, and may be using all of it.
std::vector<CustomerUse> UsageCaps::unheardUse(TimePoint now) const
{
    const std::size_t heard = m_instances.size() + 1;
    const std::size_t count = instances(now);
    if (count <= heard)
        return {};
    const double part = static_cast<double>(count - heard) / static_cast<double>(count);
    std::vector<CustomerUse> uses;
    for (const auto &[id, account] : m_accounts) {
        const auto use = static_cast<float>(part * account.cap.perSecond * regionPart());
        uses.push_back({id, use, use});
    }
    return uses;
}

RegionUse UsageCaps::sumUp(TimePoint now)
{
    const std::vector<CustomerUse> own = ownUse(now);
    const std::lock_guard lock(m_mutex);
    std::map<std::uint32_t, CustomerUse> sums;
    const auto add = [&sums](const CustomerUse &use) {
        CustomerUse &sum = sums[use.customer];
        sum.customer = use.customer;
        sum.asked += use.asked;
        sum.taken += use.taken;
    };
    for (const CustomerUse &use : own)
        add(use);
    std::erase_if(m_instances,
                  [&](const auto &entry) { return now - entry.second.at > m_limits.newsLife; });
    for (const auto &[instance, told] : m_instances) {
        for (const CustomerUse &use : told.uses)
            add(use);
    }
    for (const CustomerUse &use : unheardUse(now))
        add(use);
    RegionUse result{m_place.region, 0, {}};
    for (const auto &[id, sum] : sums)
        result.uses.push_back(sum);
    return result;
}

void UsageCaps::onRegionUse(const RegionUse &use, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint at = now - std::chrono::milliseconds(use.ageMs);
    for (auto &[id, account] : m_accounts) {
        Sum &sum = account.regions[use.region];
        if (at < sum.at)
            continue;
        const auto found
            = std::find_if(use.uses.begin(), use.uses.end(),
                           [id = id](const CustomerUse &one) { return one.customer == id; });
        const bool used = found != use.uses.end();
        sum = {used ? found->asked : 0.0, used ? found->taken : 0.0, at};
    }
}

std::vector<RegionUse> UsageCaps::regionUses(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<RegionUse> result;
    for (const std::string &region : m_place.regions) {
        RegionUse use{region, 0, {}};
        bool known = false;
        for (const auto &[id, account] : m_accounts) {
            const auto found = account.regions.find(region);
            if (found == account.regions.end() || trust(found->second, now) <= 0)
                continue;
            known = true;
            const Sum &sum = found->second;
            use.ageMs = ageInMs(sum.at, now);
            if (sum.asked > 0 || sum.taken > 0)
                use.uses.push_back(
                    {id, static_cast<float>(sum.asked), static_cast<float>(sum.taken)});
        }
        if (known)
            result.push_back(std::move(use));
    }
    return result;
}

// Of what this instance let pass, the part that was not refused for other reasons. What would be
// refused anyway is not asked of the cap; counted in, a customer got less than its cap wherever
// servers were short.
double UsageCaps::ranPart(const Account &account, TimePoint now) const
{
    constexpr double least = 0.2;
    const double passed = rateOf(account.passed, now);
    return passed > 0 ? std::clamp(rateOf(account.taken, now) / passed, least, 1.0) : 1;
}

bool UsageCaps::inUse()
{
    const std::lock_guard lock(m_mutex);
    return !m_accounts.empty();
}

// The others are taken to see as much as this instance does, beyond the few requests that chance
// may bring together: where a burst reaches all, that is its first sign.
double UsageCaps::guessedWhole(const Account &account, TimePoint now) const
{
    constexpr double byChance = 3;
    const double requests = rateOf(account.requests, now);
    if (requests <= byChance)
        return 0;
    const double here = rateOf(account.asked, now) * (1 - byChance / requests);
    const std::size_t all = m_place.instances * std::max<std::size_t>(m_place.regions.size(), 1);
    return here * static_cast<double>(all);
}

bool UsageCaps::pressed(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_accounts.begin(), m_accounts.end(), [&](const auto &entry) {
        const Account &account = entry.second;
        const double limit = nearCap * account.cap.perSecond;
        return whole(account, now).asked > limit || guessedWhole(account, now) > limit;
    });
}

std::vector<UsageCaps::CustomerState> UsageCaps::states(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<CustomerState> result;
    for (const auto &[id, account] : m_accounts) {
        const Whole all = whole(account, now);
        result.push_back({account.name, account.cap, all.asked, all.taken, account.level});
    }
    return result;
}

} // namespace ibisnotch
