#include "ibisnotch/region-choice.h"

#include <algorithm>
#include <limits>

namespace ibisnotch {

namespace {

constexpr Duration summaryMaxAge = std::chrono::seconds(15);
// What the way to a prompt's shared parts and the wait there may take of its target; the rest of
// the prompt is still to be read.
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

// How much the margin counts under a deployment's weights: sending away costs share and link, so a
// deployment that weighs those more asks for a longer wait at home first.
double forwardingCostShare(const Weights &weights)
{
    const double against = weights.sentAway + weights.cost;
    const double total = against + weights.tailLatency;
    return total <= 0 ? 0.5 : against / total;
}

// The wait at home must exceed the way and the wait elsewhere by this. A region with free slots may
// be used early, since nobody there waits longer for it; one that has a queue itself only late, or
// regions that are all full hand their requests round.
double marginSeconds(const RegionChoiceInput &input, bool freeSlots)
{
    constexpr double strongest = 4;
    const double against = forwardingCostShare(input.weights);
    const double whole = seconds(input.awayMargin) * strongest * against;
    return freeSlots ? whole * against * against * against : whole;
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
    int paced = 0;
    for (const Candidate &candidate : candidates) {
        load.slots += candidate.slots;
        load.outstanding += candidate.load;
        load.readDelaySeconds
            += candidate.readDelaySeconds / static_cast<double>(candidates.size());
        load.eventIntervalSeconds += candidate.eventIntervalSeconds;
        paced += candidate.eventIntervalSeconds > 0 ? 1 : 0;
    }
    load.eventIntervalSeconds /= std::max(1, paced);
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

// The part of the requests to send away, by how much shorter the wait is there. News of waits is
// half a second old, so a region that sent everything would find the other one behind and send
// everything back.
double forwardedFraction(double gainSeconds)
{
    constexpr double wholeGain = 0.5;
    constexpr double leastPart = 0.1;
    constexpr double mostPart = 0.6;
    return std::clamp(gainSeconds / wholeGain, leastPart, mostPart);
}

// While a server reads the shared parts of a long prompt again, all that run there wait. So such a
// prompt goes to the region where a server holds them, whichever region its caller is in: while
// that region has free slots, if the way costs the caller less than reading would cost all of them,
// and if its first token is still in time.
std::optional<RegionDecision> chooseHolderRegion(const RegionChoiceInput &input,
                                                 const RegionTable &table, TimePoint now)
{
    const std::string &holder = input.holderRegion;
    if (holder.empty() || holder == input.localRegion)
        return std::nullopt;
    const bool open
        = input.canForward && contains(input.allowed, holder) && contains(input.reachable, holder);
    if (!open)
        return std::nullopt;
    const auto load = table.find(holder, input.loadKey, now);
    if (!load || load->outstanding + 1 > load->slots)
        return std::nullopt;
    const double there = load->readDelaySeconds + 2 * seconds(input.oneWayDelay);
    const double atHome = input.localLoad.slots > 0 ? input.localLoad.readDelaySeconds
            + input.sharedReadSeconds * (1 + input.localRunningPerServer)
                                                    : std::numeric_limits<double>::infinity();
    const double target = seconds(input.service->targetLatency);
    const bool late = target > 0 && there > maxTargetFraction * target;
    if (late || there > atHome + marginSeconds(input, true))
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
    std::optional<std::string> unknown; // a region of which no load has been heard
    double bestRemoteSeconds = std::numeric_limits<double>::infinity();
    bool bestHasFreeSlots = false;
    for (const std::string &region : input.allowed) {
        const bool open
            = input.canForward && region != input.localRegion && contains(input.reachable, region);
        if (!open)
            continue;
        const auto load = table.find(region, input.loadKey, now);
        if (!load)
            unknown = region;
        if (!load || load->slots <= 0)
            continue;
        // A little noise spreads senders over regions that look alike.
        const double noise = random.uniform() * 0.01;
        const double there = std::max(waitSeconds(load->slots, load->outstanding, expected),
                                      load->readDelaySeconds);
        const double away = there + 2 * seconds(input.oneWayDelay) + noise;
        if (away < bestRemoteSeconds) {
            bestRemoteSeconds = away;
            best = {region, away, false};
            bestHasFreeSlots = load->outstanding + 1 <= load->slots;
        }
    }
    if (const auto holder = chooseHolderRegion(input, table, now))
        return *holder;
    const bool localCanRun = localAllowed && input.localLoad.slots > 0;
    // An instance that has just started knows its peers before their loads. They can refuse
    // themselves, but a refusal here would be for nothing.
    if (!best.region && !localCanRun && unknown)
        return {unknown, 2 * seconds(input.oneWayDelay), false};
    if (!localAllowed)
        return best;
    const std::lock_guard lock(m_mutex);
    bool &forwarding = m_forwarding[input.loadKey];
    const double whole = marginSeconds(input, bestHasFreeSlots);
    const double margin = forwarding ? whole / 2 : whole;
    forwarding = best.region && localWaitSeconds > bestRemoteSeconds + margin;
    // A refusal at home is worse for the caller than the way to a region with room.
    const bool avoidsRejection = best.region && bestHasFreeSlots && input.localRejects;
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
