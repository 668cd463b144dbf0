// Where an instance takes its configuration and its list of backend servers from.
#pragma once

#include <string>
#include <vector>

#include "ibisnotch/range-update.h"

namespace ibisnotch {

// Used on the control loop only.
class StateSource
{
public:
    virtual ~StateSource() = default;
    // Several times a second.
    virtual void tick() = 0;
    // What another instance of the region read of the store; `from` is its gossip address.
    virtual void onRangeUpdate(const RangeUpdate &, const std::string & /*from*/) { }
    // How far this instance knows the ranges, and how far another one does.
    virtual std::vector<RangePosition> positions() const { return {}; }
    virtual void onPositions(const std::vector<RangePosition> &, const std::string & /*from*/) { }
    // For an instance that asks.
    virtual std::vector<RangeReply> updatesSince(const std::vector<RangeRequest> &) const
    {
        return {};
    }
    // A new configuration is in force, from wherever it came.
    virtual void onConfig() { }
};

} // namespace ibisnotch
