#include "ibisnotch/entry-list.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

constexpr std::size_t maxInstances = 6;
constexpr double lifetimeSeconds = 10;
constexpr double fullPercent = 100;
constexpr double minWeight = 0.05;

struct RankedMember
{
    bool isLocal = false;
    double draw = 0;
    const Member *member = nullptr;
};

} // namespace

EntryList makeEntryList(const std::vector<Member> &members, const std::string &callerRegion,
                        const std::vector<std::string> &allowedRegions, Random &random)
{
    std::vector<RankedMember> ranked;
    for (const Member &member : members) {
        const bool allowed = std::find(allowedRegions.begin(), allowedRegions.end(), member.region)
            != allowedRegions.end();
        if (member.state != MemberState::alive || !allowed)
            continue;
        const double free = std::max(minWeight, 1 - member.loadPercent / fullPercent);
        // Sorting by log(u) / weight, with u uniform in (0, 1), yields a weighted random sample.
        const double draw = std::log(random.uniform() + 1e-12) / free;
        ranked.push_back({member.region == callerRegion, draw, &member});
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedMember &a, const RankedMember &b) {
        return a.isLocal != b.isLocal ? a.isLocal : a.draw > b.draw;
    });
    EntryList list;
    for (const RankedMember &item : ranked) {
        if (list.instances.size() < maxInstances)
            list.instances.push_back(*item.member);
    }
    const double lifetime = lifetimeSeconds * (0.8 + 0.4 * random.uniform());
    list.lifetime = std::chrono::milliseconds(static_cast<long>(lifetime * 1000));
    return list;
}

EntryList makeLocalEntryList(const std::vector<Member> &members, const LocalEntryListInput &input,
                             Random &random)
{
    constexpr std::size_t maxLocalInstances = 64;
    const auto rank = [&](const Member &member) {
        if (member.region == input.callerRegion)
            return std::numeric_limits<int>::max();
        const auto found = input.servicesAllowed.find(member.region);
        return found == input.servicesAllowed.end() ? 0 : found->second;
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
    if (list.instances.size() > maxLocalInstances)
        list.instances.resize(maxLocalInstances);
    list.lifetime = input.lifetime;
    return list;
}

std::vector<Member> preferredPeers(std::vector<Member> members, const std::string &self,
                                   const std::string &region)
{
    constexpr std::size_t maxPeers = 3;
    const std::uint64_t senderKey = hash64(self);
    std::erase_if(members, [&](const Member &member) {
        return member.region != region || member.state != MemberState::alive;
    });
    std::sort(members.begin(), members.end(), [senderKey](const Member &a, const Member &b) {
        return rendezvousWeight(a.name, senderKey) > rendezvousWeight(b.name, senderKey);
    });
    members.resize(std::min(maxPeers, members.size()));
    return members;
}

} // namespace ibisnotch
