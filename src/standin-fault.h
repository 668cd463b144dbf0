// How a stand-in is told to fail, the same for all of them.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <absl/strings/numbers.h>

#include "ibisnotch/http.h"

namespace ibisnotch {

// The failure in force, from the queries "mode=MODE" and, to end it after some calls, "count=N".
// Fault is an enumeration with a value `none`. Thread safe.
template <typename Fault> class FaultSwitch
{
public:
    explicit FaultSwitch(std::map<std::string, Fault> modes) : m_modes(std::move(modes)) { }

    // Empty if the mode is not known.
    std::optional<Fault> set(const HttpRequest &request)
    {
        const auto mode = m_modes.find(queryValue(request.query, "mode").value_or("none"));
        if (mode == m_modes.end())
            return std::nullopt;
        const std::lock_guard lock(m_mutex);
        m_fault = mode->second;
        m_count = 0;
        (void)absl::SimpleAtoi(queryValue(request.query, "count").value_or("0"), &m_count);
        return m_fault;
    }

    // The failure for one call.
    Fault take()
    {
        const std::lock_guard lock(m_mutex);
        const Fault fault = m_fault;
        if (m_count > 0 && --m_count == 0)
            m_fault = Fault::none;
        return fault;
    }

private:
    std::map<std::string, Fault> m_modes;
    std::mutex m_mutex;
    Fault m_fault = Fault::none;
    int m_count = 0;
};

} // namespace ibisnotch
