#include "ibisnotch/origin-message.h"

#include <algorithm>
#include <set>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

constexpr std::size_t holdersInRegion = 2;
constexpr std::size_t holderRegions = 2;

// Returns the first `count` members of a region in the rendezvous order.
std::vector<Member> firstOf(std::vector<Member> members, const std::string &region,
                            std::uint64_t key, std::size_t count)
{
    std::erase_if(members, [&region](const Member &member) { return member.region != region; });
    std::sort(members.begin(), members.end(), [key](const Member &a, const Member &b) {
        return rendezvousWeight(a.name, key) > rendezvousWeight(b.name, key);
    });
    members.resize(std::min(members.size(), count));
    return members;
}

} // namespace

std::vector<Member> originHolders(std::uint64_t stream, const std::string &region,
                                  const std::vector<Member> &members)
{
    std::set<std::string> names;
    for (const Member &member : members)
        names.insert(member.region);
    std::vector<std::string> regions(names.begin(), names.end());
    std::sort(regions.begin(), regions.end(), [stream](const auto &a, const auto &b) {
        return rendezvousWeight(a, stream) > rendezvousWeight(b, stream);
    });
    regions.resize(std::min(regions.size(), holderRegions));
    std::vector<Member> holders = firstOf(members, region, stream, holdersInRegion);
    for (const std::string &other : regions) {
        if (other == region)
            continue;
        for (Member &member : firstOf(members, other, stream, 1))
            holders.push_back(std::move(member));
    }
    return holders;
}

} // namespace ibisnotch
