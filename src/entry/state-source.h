// The interface of the sources of an instance's configuration and list of backend servers.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "ibisnotch/part-suspects.h"
#include "ibisnotch/range-update.h"

namespace ibisnotch {

// All functions are called on the control loop.
class StateSource
{
public:
    virtual ~StateSource() = default;
    // Called several times a second.
    virtual void tick() = 0;
    // Called with an update of a range that another instance of the region has read from the store
    // or received. `from` is that instance's gossip address.
    virtual void onRangeUpdate(const RangeUpdate &, const std::string & /*from*/) { }
    // Returns whether the store is likely to bring a newer configuration without being asked.
    virtual bool awaitsStore() const { return false; }
    // Returns the revisions of the ranges that this instance has applied.
    virtual std::vector<RangePosition> positions() const { return {}; }
    // Called with the positions of another instance.
    virtual void onPositions(const std::vector<RangePosition> &, const std::string & /*from*/) { }
    // Returns the replies to another instance's requests.
    virtual std::vector<RangeReply> updatesSince(const std::vector<RangeRequest> &) const
    {
        return {};
    }
    // Reads anew from the store which servers and services there are. Calls `done` once, maybe
    // before it returns, with whether every change is known now that the store had accepted before
    // this call.
    virtual void refreshLists(std::function<void(bool isCurrent)> done) { done(false); }
    // Write suspect parts to the store, or remove them from it.
    virtual void recordSuspects(const std::vector<SuspectPart> &) { }
    virtual void removeSuspects(const std::vector<SuspectPart> &) { }
    // Called when a new configuration is in force, whichever source it came from.
    virtual void onConfig() { }
};

} // namespace ibisnotch
