// The list of entry instances that a caller is to use. There is no load balancer in front of the
// instances; these lists balance the load.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/membership.h"
#include "ibisnotch/random.h"

namespace ibisnotch {

struct EntryList
{
    std::vector<Member> instances; // in the order in which the caller tries them
    Duration lifetime{};
    bool operator==(const EntryList &) const = default;
};

// Returns instances of the caller's region first, then of the other allowed regions. Within a
// region the order is a random sample weighted by free capacity, so that callers which ask at the
// same time get different orders. Leaving and suspect instances are omitted.
EntryList makeEntryList(const std::vector<Member> &members, const std::string &callerRegion,
                        const std::vector<std::string> &allowedRegions, Random &random);

struct LocalEntryListInput
{
    std::string callerRegion;
    // Number of services that may run in each region.
    std::map<std::string, int> servicesAllowed;
    Duration lifetime{};
};

// Returns all alive instances of the caller's region in random order, for callers that use any of
// the listed instances. If there are none, for example while all are stopped for planned
// maintenance, returns the instances of the region in which most services may run: a caller
// directed to another region could send its data where it may not be processed. The caller's
// services are not known here, as it may use one list for several hosts.
EntryList makeLocalEntryList(const std::vector<Member> &members, const LocalEntryListInput &input,
                             Random &random);

// Returns the few instances of another region to which instance `self` forwards requests, so that
// it finds an open connection to them; a new one costs a round trip first. With 27 instances per
// region and all of them used, nearly every request opened a connection: the median time to the
// first token of digests between regions 80 ms apart was 525 ms, compared with 394 ms with
// preferred peers. Chosen by rendezvous hashing, which distributes the senders over the region; if
// a member is removed, only its own senders choose another one.
std::vector<Member> preferredPeers(std::vector<Member> members, const std::string &self,
                                   const std::string &region);

} // namespace ibisnotch
