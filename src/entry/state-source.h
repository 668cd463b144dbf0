// Where an instance takes its configuration and its list of backend servers from.
#pragma once

#include "ibisnotch/range-news.h"

namespace ibisnotch {

// Used on the control loop only.
class StateSource
{
public:
    virtual ~StateSource() = default;
    // Several times a second.
    virtual void tick() = 0;
    // What another instance of the region read of the store.
    virtual void onNews(const RangeNews &) { }
    // A new configuration is in force, from wherever it came.
    virtual void onConfig() { }
};

} // namespace ibisnotch
