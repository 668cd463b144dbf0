// The answer to a caller's input which entry instances to use. With no balancer before them,
// this answer is what balances.
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
    std::vector<Member> instances; // to be tried in this order
    Duration lifetime{};
    bool operator==(const EntryList &) const = default;
};

// The caller's region first, then the other allowed regions. Within a region the order is drawn at
// random for each call, weighted by free capacity, so that callers who ask together are told
// different orders. Leaving and suspected instances are left out.
EntryList makeEntryList(const std::vector<Member> &members, const std::string &callerRegion,
                        const std::vector<std::string> &allowedRegions, Random &random);

struct LocalEntryListInput
{
    std::string callerRegion;
    // How many services may run in each region.
    std::map<std::string, int> servicesAllowed;
    Duration lifetime{};
};

// For callers that pick any of the named instances: all that are alive in the caller's region. If
// none is, as when all stop in turn for planned work, those of the regions where most services may
// run: a caller sent elsewhere would hand its data to a region that may not have it. Which service
// a caller will ask for is not known; it may use one answer for several hosts. In random order.
EntryList makeLocalEntryList(const std::vector<Member> &members, const LocalEntryListInput &input,
                             Random &random);

// The few instances of another region that one instance hands its requests to, so that it finds a
// kept connection there: a new one costs the way there and back first. With 27 instances a region,
// requests drawn over all of them met a new connection nearly each time (median first token of
// digests in a region pair 80 ms apart 525 ms, with usual peers 394 ms). Chosen by rendezvous, so
// that senders spread over the region, and a member that goes moves only its own senders.
std::vector<Member> preferredPeers(std::vector<Member> members, const std::string &self,
                                   const std::string &region);

} // namespace ibisnotch
