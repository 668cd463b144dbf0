// Where an instance takes its configuration and its list of backend servers from.
#pragma once

#include <string>
#include <vector>

#include "ibisnotch/range-news.h"

namespace ibisnotch {

// Used on the control loop only.
class StateSource
{
public:
    virtual ~StateSource() = default;
    // Several times a second.
    virtual void tick() = 0;
    // What another instance of the region read of the store; `from` is its gossip address.
    virtual void onNews(const RangeNews &, const std::string & /*from*/) { }
    // How far this instance knows the ranges, and how far another one does.
    virtual std::vector<RangeMark> marks() const { return {}; }
    virtual void onMarks(const std::vector<RangeMark> &, const std::string & /*from*/) { }
    // For an instance that asks.
    virtual std::vector<RangeReply> newsSince(const std::vector<RangeQuestion> &) const
    {
        return {};
    }
    // A new configuration is in force, from wherever it came.
    virtual void onConfig() { }
};

} // namespace ibisnotch
