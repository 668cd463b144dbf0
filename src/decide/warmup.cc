#include "ibisnotch/warmup.h"

#include <algorithm>
#include <cmath>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

// Requests that leave a second apart may arrive a little closer.
constexpr double jitterFactor = 1.06;
// Within which a cold server's requests are counted.
constexpr auto window
    = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(jitterFactor));

// A watch of the store ends after four seconds, also when nothing has changed.
constexpr Duration listLife = std::chrono::seconds(5);
// Between two looks at a server while the list is old, with the time of an answer.
constexpr Duration coldNoticedWithin = std::chrono::milliseconds(110);

std::size_t wholeRequests(double rate, const WarmupBound &bound)
{
    return static_cast<std::size_t>(std::floor(rate * bound.factor + bound.slack));
}

bool mayFollow(Duration::rep last, Duration pause, TimePoint coldSince, TimePoint now)
{
    if (last == 0)
        return true;
    const TimePoint sentAt{Duration(last)};
    return now - sentAt >= (sentAt < coldSince ? std::max(pause, window) : pause);
}

} // namespace

std::optional<Duration> warmupPause(double rate, const WarmupBound &bound,
                                    const std::vector<std::string> &senders,
                                    const std::string &self, const std::string &server)
{
    const std::size_t whole = wholeRequests(rate, bound);
    if (whole == 0)
        return std::nullopt;
    const std::uint64_t hash = hash64(server);
    const std::uint64_t own = rendezvousWeight(self, hash);
    const auto ahead = static_cast<std::size_t>(
        std::count_if(senders.begin(), senders.end(), [&](const std::string &name) {
            return name != self && rendezvousWeight(name, hash) > own;
        }));
    const std::size_t sharing = std::min(std::max<std::size_t>(senders.size(), 1), whole);
    if (ahead >= sharing)
        return std::nullopt;
    const double each = std::floor(static_cast<double>(whole) / static_cast<double>(sharing));
    const std::chrono::duration<double> pause(jitterFactor / each);
    return std::chrono::duration_cast<Duration>(pause);
}

bool mayWarm(const ServerCounters &counters, Duration pause, TimePoint coldSince, TimePoint now)
{
    return mayFollow(counters.sentAt, pause, coldSince, now);
}

bool isOld(const ListState &list, TimePoint now)
{
    return list.heardAt != TimePoint{} && now - list.heardAt > listLife;
}

Duration pauseWhileUnsure(double rate, const WarmupBound &bound, std::size_t senders)
{
    const std::size_t whole = std::max<std::size_t>(wholeRequests(rate, bound), 1);
    const std::size_t sharing = std::max<std::size_t>(senders, 1);
    if (sharing > whole)
        return coldNoticedWithin * sharing / whole;
    return coldNoticedWithin / (whole / sharing);
}

bool takeWarmup(ServerCounters &counters, Duration pause, TimePoint coldSince, TimePoint now)
{
    Duration::rep last = counters.sentAt;
    const Duration::rep at = now.time_since_epoch().count();
    do {
        if (!mayFollow(last, pause, coldSince, now))
            return false;
    } while (!counters.sentAt.compare_exchange_weak(last, at));
    return true;
}

} // namespace ibisnotch
