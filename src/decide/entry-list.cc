#include "ibisnotch/entry-list.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

constexpr std::size_t mostInstances = 6;
constexpr double lifetimeSeconds = 10;
constexpr double fullPercent = 100;
constexpr double leastWeight = 0.05;

struct Ranked
{
    bool home = false;
    double draw = 0;
    const Member *member = nullptr;
};

} // namespace

EntryList makeEntryList(const std::vector<Member> &members, const std::string &callerRegion,
                        const std::vector<std::string> &allowedRegions, Random &random)
{
    std::vector<Ranked> ranked;
    for (const Member &member : members) {
        const bool allowed = std::find(allowedRegions.begin(), allowedRegions.end(), member.region)
            != allowedRegions.end();
        if (member.state != MemberState::alive || !allowed)
            continue;
        const double free = std::max(leastWeight, 1 - member.loadPercent / fullPercent);
        // The logarithm of a uniform number over the weight orders a weighted sample.
        const double draw = std::log(random.uniform() + 1e-12) / free;
        ranked.push_back({member.region == callerRegion, draw, &member});
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        return a.home != b.home ? a.home : a.draw > b.draw;
    });
    EntryList list;
    for (const Ranked &item : ranked) {
        if (list.instances.size() < mostInstances)
            list.instances.push_back(*item.member);
    }
    const double lifetime = lifetimeSeconds * (0.8 + 0.4 * random.uniform());
    list.lifetime = std::chrono::milliseconds(static_cast<long>(lifetime * 1000));
    return list;
}

EntryList makeLocalEntryList(const std::vector<Member> &members, const LocalEntryQuestion &question,
                             Random &random)
{
    constexpr std::size_t mostNamed = 64;
    const auto rank = [&](const Member &member) {
        if (member.region == question.callerRegion)
            return std::numeric_limits<int>::max();
        const auto found = question.servicesAllowed.find(member.region);
        return found == question.servicesAllowed.end() ? 0 : found->second;
    };
    EntryList list;
    int best = 0;
    for (const Member &member : members) {
        if (member.state != MemberState::alive || rank(member) < best)
            continue;
        if (rank(member) > best)
            list.instances.clear();
        best = rank(member);
        list.instances.push_back(member);
    }
    for (std::size_t i = list.instances.size(); i > 1; --i)
        std::swap(list.instances[i - 1], list.instances[random.below(i)]);
    if (list.instances.size() > mostNamed)
        list.instances.resize(mostNamed);
    list.lifetime = question.lifetime;
    return list;
}

std::vector<Member> usualPeers(std::vector<Member> members, const std::string &self,
                               const std::string &region)
{
    constexpr std::size_t most = 3;
    const std::uint64_t task = hash64(self);
    std::erase_if(members, [&](const Member &member) {
        return member.region != region || member.state != MemberState::alive;
    });
    std::sort(members.begin(), members.end(), [task](const Member &a, const Member &b) {
        return rendezvousWeight(a.name, task) > rendezvousWeight(b.name, task);
    });
    members.resize(std::min(most, members.size()));
    return members;
}

} // namespace ibisnotch
