#include "ibisnotch/region-choice.h"

#include <algorithm>
#include <limits>

namespace ibisnotch {

namespace {

constexpr Duration summaryMaxAge = std::chrono::seconds(15);
// Part of the target latency that the network and read delay may use up in the region that caches a
// prefix. The rest of the prompt must still be read after that.
constexpr double maxTargetFraction = 0.5;

std::uint32_t ageMilliseconds(TimePoint at, TimePoint now)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count());
}

bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

// Returns the weight of the disadvantages of forwarding relative to that of latency, from 0 to 1.
// The higher it is, the longer the local wait must be before requests are forwarded.
double forwardingCostShare(const Weights &weights)
{
    const double forwardingCost = weights.sentAway + weights.cost;
    const double total = forwardingCost + weights.tailLatency;
    return total <= 0 ? 0.5 : forwardingCost / total;
}

// Returns the time by which the local wait must exceed the network delay and wait in another
// region. It is short for a region with free slots, where no other request waits longer as a
// result, and long for one with a queue, since full regions would otherwise forward requests to
// each other.
double marginSeconds(const RegionChoiceInput &input, bool freeSlots)
{
    constexpr double maxScale = 4;
    const double costShare = forwardingCostShare(input.weights);
    const double fullMargin = seconds(input.awayMargin) * maxScale * costShare;
    return freeSlots ? fullMargin * costShare * costShare * costShare : fullMargin;
}

} // namespace

double waitSeconds(double slots, double outstanding, double expectedSeconds)
{
    if (slots <= 0)
        return std::numeric_limits<double>::infinity();
    const double waiting = std::max(0.0, outstanding + 1 - slots);
    return waiting / slots * expectedSeconds;
}

RegionLoad summarizeLoad(const std::string &region, const std::string &loadKey,
                         std::span<const Candidate> candidates)
{
    RegionLoad load{region, loadKey, 0, 0, 0, 0, 0};
    int withInterval = 0;
    for (const Candidate &candidate : candidates) {
        load.slots += candidate.slots / candidate.slowdown;
        load.outstanding += candidate.load;
        load.readDelaySeconds
            += candidate.readDelaySeconds / static_cast<double>(candidates.size());
        load.eventIntervalSeconds += candidate.eventIntervalSeconds;
        withInterval += candidate.eventIntervalSeconds > 0 ? 1 : 0;
    }
    load.eventIntervalSeconds /= std::max(1, withInterval);
    return load;
}

void RegionTable::onLoad(const RegionLoad &load, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint at = now - std::chrono::milliseconds(load.ageMs);
    Entry &entry = m_entries[{load.region, load.service}];
    if (at <= entry.measuredAt)
        return;
    entry = {load, at, 0};
}

void RegionTable::onForwarded(const std::string &region, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find({region, service});
    if (found != m_entries.end())
        found->second.forwardedSince += 1;
}

void RegionTable::onForwardedFinished(const std::string &region, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find({region, service});
    if (found != m_entries.end())
        found->second.forwardedSince -= 1;
}

std::optional<RegionLoad> RegionTable::find(const std::string &region, const std::string &service,
                                            TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find({region, service});
    if (found == m_entries.end() || found->second.measuredAt + summaryMaxAge <= now)
        return std::nullopt;
    RegionLoad load = found->second.load;
    load.outstanding = std::max(0.0, load.outstanding + found->second.forwardedSince);
    load.ageMs = ageMilliseconds(found->second.measuredAt, now);
    return load;
}

namespace {

// Returns the fraction of requests to forward, which grows with the gain in wait. Loads are half a
// second old when they arrive, so if all requests were forwarded, the other region would become the
// slower one and forward them all back.
double forwardedFraction(double gainSeconds)
{
    constexpr double fullGainSeconds = 0.5;
    constexpr double minFraction = 0.1;
    constexpr double maxFraction = 0.6;
    return std::clamp(gainSeconds / fullGainSeconds, minFraction, maxFraction);
}

// Returns the region with the server that caches the prefix of the prompt, or nothing if the
// request shouldn't be forwarded there. All requests at a server wait while it reads a long prefix,
// so the request is forwarded if the region has free slots, the delay for the caller is shorter
// than the total delay for the requests at a local server, and the first token still meets the
// target.
std::optional<RegionDecision> chooseHolderRegion(const RegionChoiceInput &input,
                                                 const RegionTable &table, TimePoint now)
{
    const std::string &holder = input.holderRegion;
    if (holder.empty() || holder == input.localRegion)
        return std::nullopt;
    const bool isEligible
        = input.canForward && contains(input.allowed, holder) && contains(input.reachable, holder);
    if (!isEligible)
        return std::nullopt;
    const auto load = table.find(holder, input.loadKey, now);
    if (!load || load->outstanding + 1 > load->slots)
        return std::nullopt;
    const double holderSeconds = load->readDelaySeconds + 2 * seconds(input.oneWayDelay);
    const double localSeconds = input.localLoad.slots > 0 ? input.localLoad.readDelaySeconds
            + input.sharedReadSeconds * (1 + input.localRunningPerServer)
                                                          : std::numeric_limits<double>::infinity();
    const double target = seconds(input.service->targetLatency);
    const bool late = target > 0 && holderSeconds > maxTargetFraction * target;
    if (late || holderSeconds > localSeconds + marginSeconds(input, true))
        return std::nullopt;
    return RegionDecision{holder, 2 * seconds(input.oneWayDelay), false};
}

} // namespace

std::vector<RegionLoad> RegionTable::all(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<RegionLoad> loads;
    for (const auto &[key, entry] : m_entries) {
        if (entry.measuredAt + summaryMaxAge <= now)
            continue;
        loads.push_back(entry.load);
        loads.back().ageMs = ageMilliseconds(entry.measuredAt, now);
    }
    return loads;
}

RegionDecision RegionChooser::choose(const RegionChoiceInput &input, const RegionTable &table,
                                     TimePoint now, Random &random)
{
    const double expected = seconds(input.service->expectedDuration);
    const bool localAllowed = contains(input.allowed, input.localRegion);
    if (input.allowed.empty() || (!localAllowed && !input.canForward))
        return {std::nullopt, 0, true};
    const double localSlotWaitSeconds
        = waitSeconds(input.localLoad.slots, input.localLoad.outstanding, expected);
    const double localWaitSeconds
        = std::max(localSlotWaitSeconds, input.localLoad.readDelaySeconds);
    RegionDecision best;
    std::optional<std::string> unknown; // a region whose load isn't known
    double bestRemoteSeconds = std::numeric_limits<double>::infinity();
    bool bestHasFreeSlots = false;
    for (const std::string &region : input.allowed) {
        const bool isEligible
            = input.canForward && region != input.localRegion && contains(input.reachable, region);
        if (!isEligible)
            continue;
        const auto load = table.find(region, input.loadKey, now);
        if (!load)
            unknown = region;
        if (!load || load->slots <= 0)
            continue;
        // Noise distributes the instances over regions with equal loads.
        const double noise = random.uniform() * 0.01;
        const double remoteWait = std::max(waitSeconds(load->slots, load->outstanding, expected),
                                           load->readDelaySeconds);
        const double remoteSeconds = remoteWait + 2 * seconds(input.oneWayDelay) + noise;
        if (remoteSeconds < bestRemoteSeconds) {
            bestRemoteSeconds = remoteSeconds;
            best = {region, remoteSeconds, false};
            bestHasFreeSlots = load->outstanding + 1 <= load->slots;
        }
    }
    if (const auto holder = chooseHolderRegion(input, table, now))
        return *holder;
    const bool localCanRun = localAllowed && input.localLoad.slots > 0;
    // An instance that has just started knows its peers before it receives their loads. It forwards
    // the request anyway: the peer can still reject it, while a rejection here would be for lack of
    // information only.
    if (!best.region && !localCanRun && unknown)
        return {unknown, 2 * seconds(input.oneWayDelay), false};
    if (!localAllowed)
        return best;
    const std::lock_guard lock(m_mutex);
    bool &forwarding = m_forwarding[input.loadKey];
    const double fullMargin = marginSeconds(input, bestHasFreeSlots);
    const double margin = forwarding ? fullMargin / 2 : fullMargin;
    forwarding = best.region && localWaitSeconds > bestRemoteSeconds + margin;
    // For the caller, a rejection is worse than the delay to a region with free slots.
    const bool avoidsRejection = best.region && bestHasFreeSlots && input.localRejects;
    // If only the read delay makes the local wait long, a part of the requests stays local.
    const bool byReadDelay = forwarding && localSlotWaitSeconds <= bestRemoteSeconds + margin;
    if (byReadDelay
        && random.uniform() >= forwardedFraction(localWaitSeconds - bestRemoteSeconds - margin))
        return {input.localRegion, localWaitSeconds, false};
    if (forwarding || avoidsRejection)
        return best;
    if (!localCanRun)
        return {};
    return {input.localRegion, localWaitSeconds, false};
}

} // namespace ibisnotch
