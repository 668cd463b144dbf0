// What a backend server publishes about itself, in the Prometheus text form.
#pragma once

#include <string>
#include <string_view>

#include "ibisnotch/server-table.h"

namespace ibisnotch {

// The value of a metric; labels are ignored and equal names added up. 0 if there is none.
double metricValue(std::string_view text, std::string_view name);

// Running and waiting requests by vLLM's names, the start of the process, and whether the server
// says that it is leaving.
LoadReport parseLoadMetrics(const std::string &server, std::string_view text);

} // namespace ibisnotch
