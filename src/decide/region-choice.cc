#include "ibisnotch/region-choice.h"

#include <algorithm>
#include <limits>

namespace ibisnotch {

namespace {

constexpr Duration summaryLife = std::chrono::seconds(15);
// What the way to a prompt's shared parts and the wait there may take of its target; the rest of
// the prompt is still to be read.
constexpr double mostOfTarget = 0.5;

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
double shareAgainst(const Weights &weights)
{
    const double against = weights.sentAway + weights.cost;
    const double total = against + weights.tailLatency;
    return total <= 0 ? 0.5 : against / total;
}

// The wait at home must exceed the way and the wait elsewhere by this. A region with free slots may
// be used early, since nobody there waits longer for it; one that has a queue itself only late, or
// regions that are all full hand their requests round.
double marginSeconds(const RegionQuestion &question, bool freeSlots)
{
    constexpr double strongest = 4;
    const double against = shareAgainst(question.weights);
    const double whole = seconds(question.awayMargin) * strongest * against;
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

RegionLoad summarize(const std::string &region, const std::string &loadName,
                     std::span<const Candidate> candidates)
{
    RegionLoad load{region, loadName, 0, 0, 0, 0, 0};
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
    if (at <= entry.at)
        return;
    entry = {load, at, 0};
}

void RegionTable::onSentAway(const std::string &region, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find({region, service});
    if (found != m_entries.end())
        found->second.underWay += 1;
}

void RegionTable::onBack(const std::string &region, const std::string &service)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find({region, service});
    if (found != m_entries.end())
        found->second.underWay -= 1;
}

std::optional<RegionLoad> RegionTable::find(const std::string &region, const std::string &service,
                                            TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find({region, service});
    if (found == m_entries.end() || found->second.at + summaryLife <= now)
        return std::nullopt;
    RegionLoad load = found->second.load;
    load.outstanding = std::max(0.0, load.outstanding + found->second.underWay);
    load.ageMs = ageMilliseconds(found->second.at, now);
    return load;
}

namespace {

// The part of the requests to send away, by how much shorter the wait is there. News of waits is
// half a second old, so a region that sent everything would find the other one behind and send
// everything back.
double partSentAway(double gainSeconds)
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
std::optional<RegionAnswer> holderWithRoom(const RegionQuestion &question, const RegionTable &table,
                                           TimePoint now)
{
    const std::string &holder = question.holder;
    if (holder.empty() || holder == question.home)
        return std::nullopt;
    const bool open = question.mayForward && contains(question.allowed, holder)
        && contains(question.reachable, holder);
    if (!open)
        return std::nullopt;
    const auto load = table.find(holder, question.loadName, now);
    if (!load || load->outstanding + 1 > load->slots)
        return std::nullopt;
    const double there = load->readDelaySeconds + 2 * seconds(question.oneWay);
    const double atHome = question.homeLoad.slots > 0 ? question.homeLoad.readDelaySeconds
            + question.sharedReadSeconds * (1 + question.besideAtHome)
                                                      : std::numeric_limits<double>::infinity();
    const double target = seconds(question.service->targetLatency);
    const bool late = target > 0 && there > mostOfTarget * target;
    if (late || there > atHome + marginSeconds(question, true))
        return std::nullopt;
    return RegionAnswer{holder, 2 * seconds(question.oneWay), false};
}

} // namespace

std::vector<RegionLoad> RegionTable::all(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<RegionLoad> loads;
    for (const auto &[key, entry] : m_entries) {
        if (entry.at + summaryLife <= now)
            continue;
        loads.push_back(entry.load);
        loads.back().ageMs = ageMilliseconds(entry.at, now);
    }
    return loads;
}

RegionAnswer RegionChooser::choose(const RegionQuestion &question, const RegionTable &table,
                                   TimePoint now, Random &random)
{
    const double expected = seconds(question.service->expectedDuration);
    const bool homeAllowed = contains(question.allowed, question.home);
    if (question.allowed.empty() || (!homeAllowed && !question.mayForward))
        return {std::nullopt, 0, true};
    const double slotWait
        = waitSeconds(question.homeLoad.slots, question.homeLoad.outstanding, expected);
    const double homeWait = std::max(slotWait, question.homeLoad.readDelaySeconds);
    RegionAnswer best;
    std::optional<std::string> unknown; // a region of which no load has been heard
    double bestAway = std::numeric_limits<double>::infinity();
    bool bestIsFree = false;
    for (const std::string &region : question.allowed) {
        const bool open = question.mayForward && region != question.home
            && contains(question.reachable, region);
        if (!open)
            continue;
        const auto load = table.find(region, question.loadName, now);
        if (!load)
            unknown = region;
        if (!load || load->slots <= 0)
            continue;
        // A little noise spreads senders over regions that look alike.
        const double noise = random.uniform() * 0.01;
        const double there = std::max(waitSeconds(load->slots, load->outstanding, expected),
                                      load->readDelaySeconds);
        const double away = there + 2 * seconds(question.oneWay) + noise;
        if (away < bestAway) {
            bestAway = away;
            best = {region, away, false};
            bestIsFree = load->outstanding + 1 <= load->slots;
        }
    }
    if (const auto holder = holderWithRoom(question, table, now))
        return *holder;
    const bool homeRuns = homeAllowed && question.homeLoad.slots > 0;
    // An instance that has just started knows its peers before their loads. They can refuse
    // themselves, but a refusal here would be for nothing.
    if (!best.region && !homeRuns && unknown)
        return {unknown, 2 * seconds(question.oneWay), false};
    if (!homeAllowed)
        return best;
    const std::lock_guard lock(m_mutex);
    bool &sendingAway = m_sendingAway[question.loadName];
    const double whole = marginSeconds(question, bestIsFree);
    const double margin = sendingAway ? whole / 2 : whole;
    sendingAway = best.region && homeWait > bestAway + margin;
    // A refusal at home is worse for the caller than the way to a region with room.
    const bool rescued = best.region && bestIsFree && question.homeRefuses;
    const bool byDelay = sendingAway && slotWait <= bestAway + margin;
    if (byDelay && random.uniform() >= partSentAway(homeWait - bestAway - margin))
        return {question.home, homeWait, false};
    if (sendingAway || rescued)
        return best;
    if (!homeRuns)
        return {};
    return {question.home, homeWait, false};
}

} // namespace ibisnotch
