// Fault injection for the simulated servers standin-store and standin-engine.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <absl/strings/numbers.h>

#include "ibisnotch/http.h"

namespace ibisnotch {

// Determines the fault that applies to each call. A control request sets it by the query parameter
// "mode=MODE"; with "count=N" the fault ends after N calls. Fault is an enumeration with a value
// `none`. Thread safe.
template <typename Fault> class FaultSwitch
{
public:
    explicit FaultSwitch(std::map<std::string, Fault> modes) : m_modes(std::move(modes)) { }

    // Sets the fault that the request names and returns it; empty if the mode is unknown.
    std::optional<Fault> set(const HttpRequest &request)
    {
        const auto mode = m_modes.find(queryValue(request.query, "mode").value_or("none"));
        if (mode == m_modes.end())
            return std::nullopt;
        const std::lock_guard lock(m_mutex);
        m_fault = mode->second;
        m_callsLeft = 0;
        (void)absl::SimpleAtoi(queryValue(request.query, "count").value_or("0"), &m_callsLeft);
        return m_fault;
    }

    // Returns the fault for one call and counts the call.
    Fault nextFault()
    {
        const std::lock_guard lock(m_mutex);
        const Fault fault = m_fault;
        if (m_callsLeft > 0 && --m_callsLeft == 0)
            m_fault = Fault::none;
        return fault;
    }

private:
    std::map<std::string, Fault> m_modes;
    std::mutex m_mutex;
    Fault m_fault = Fault::none;
    int m_callsLeft = 0; // calls until the fault ends; 0 if it has no limit
};

} // namespace ibisnotch
