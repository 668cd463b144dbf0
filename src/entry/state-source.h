// Where an instance takes its configuration and its list of backend servers from.
#pragma once

namespace ibisnotch {

// Used on the control loop only.
class StateSource
{
public:
    virtual ~StateSource() = default;
    // Several times a second.
    virtual void tick() = 0;
    // A new configuration is in force, from wherever it came.
    virtual void onConfig() { }
};

} // namespace ibisnotch
