#include "ibisnotch/warmup.h"

#include <algorithm>
#include <cmath>

#include "ibisnotch/shared-rate.h"

namespace ibisnotch {

namespace {

// Requests sent one second apart may arrive slightly closer together.
constexpr double jitterFactor = 1.06;
// Time within which the requests to a cold server are counted: one second and the jitter.
constexpr auto window
    = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(jitterFactor));

std::size_t requestsPerWindow(double rate, const WarmupBound &bound)
{
    return static_cast<std::size_t>(std::floor(rate * bound.factor + bound.slack));
}

// `last` is the time of the previous request; 0 if there was none.
bool canSendAfter(Duration::rep last, Duration interval, TimePoint coldSince, TimePoint now)
{
    if (last == 0)
        return true;
    const TimePoint lastSentAt{Duration(last)};
    return now - lastSentAt >= (lastSentAt < coldSince ? std::max(interval, window) : interval);
}

} // namespace

std::optional<Duration> warmupInterval(double rate, const WarmupBound &bound,
                                       const std::vector<std::string> &senders,
                                       const std::string &self, const std::string &server)
{
    return sendInterval({requestsPerWindow(rate, bound), window}, senders, self, server);
}

bool canSendRateLimited(const ServerView &view, Duration interval, TimePoint now)
{
    return now >= view.cooldownUntil
        && canSendAfter(view.counters->lastSentAt, interval, view.coldSince, now);
}

std::optional<TimePoint> possiblyColdSince(const ListState &list, const ServerView &view,
                                           TimePoint now)
{
    std::optional<TimePoint> since;
    if (list.confirmedAt != TimePoint{} && now - list.confirmedAt > list.maxAge)
        since = list.confirmedAt + list.maxAge;
    if (view.missingSince != TimePoint{})
        since = since ? std::min(*since, view.missingSince) : view.missingSince;
    return since;
}

std::optional<std::size_t> possiblyColdShare(const RoutingTable &table, const WarmupBound &bound,
                                             const std::string &self, const BackendServer &server)
{
    const auto pool = table.config->pools.find(server.pool);
    if (pool == table.config->pools.end() || pool->second.warmupRate <= 0)
        return std::nullopt;
    const std::size_t total = requestsPerWindow(pool->second.warmupRate, bound);
    return requestsForInstance(std::max<std::size_t>(total, 1), table.senders, self, server.name);
}

bool canSendPossiblyCold(const ServerCounters &counters, std::size_t share,
                         TimePoint possiblyColdSince)
{
    const bool foundWarm = TimePoint(Duration(counters.confirmedWarmAt.load())) > possiblyColdSince;
    return foundWarm && counters.possiblyColdSent - counters.possiblyColdVerified < share;
}

bool tryAcquirePossiblyCold(ServerCounters &counters, std::size_t share,
                            TimePoint possiblyColdSince)
{
    std::uint32_t sent = counters.possiblyColdSent;
    do {
        if (!canSendPossiblyCold(counters, share, possiblyColdSince))
            return false;
    } while (!counters.possiblyColdSent.compare_exchange_weak(sent, sent + 1));
    return true;
}

bool needsHealthCheck(const ServerCounters &counters, TimePoint possiblyColdSince)
{
    const bool foundWarm = TimePoint(Duration(counters.confirmedWarmAt.load())) > possiblyColdSince;
    return !foundWarm || counters.possiblyColdSent != counters.possiblyColdVerified;
}

void recordWarm(ServerCounters &counters, std::uint32_t sentBefore, TimePoint now)
{
    counters.possiblyColdVerified = sentBefore;
    counters.confirmedWarmAt = now.time_since_epoch().count();
}

PossiblyColdChoice choosePossiblyCold(std::span<const PossiblyColdServer> servers)
{
    PossiblyColdChoice choice;
    std::size_t longestIdle = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        if (servers[i].ready)
            choice.ready.push_back(i);
        if (servers[i].lastSentAt < servers[longestIdle].lastSentAt)
            longestIdle = i;
    }
    if (!choice.ready.empty() || servers.empty())
        return choice;
    choice.wait = std::any_of(servers.begin(), servers.end(),
                              [](const PossiblyColdServer &server) { return server.hasShare; });
    if (!choice.wait)
        choice.ready.push_back(longestIdle);
    return choice;
}

bool tryAcquireRateLimited(const ServerView &view, Duration interval, TimePoint now)
{
    if (now < view.cooldownUntil)
        return false;
    Duration::rep last = view.counters->lastSentAt;
    const Duration::rep at = now.time_since_epoch().count();
    do {
        if (!canSendAfter(last, interval, view.coldSince, now))
            return false;
    } while (!view.counters->lastSentAt.compare_exchange_weak(last, at));
    return true;
}

} // namespace ibisnotch
