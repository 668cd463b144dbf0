// Reads the metrics of a backend server, in the Prometheus text format.
#pragma once

#include <string>
#include <string_view>

#include "ibisnotch/server-table.h"

namespace ibisnotch {

// Returns the sum of a metric's values over all labels; 0 if there is none.
double metricValue(std::string_view text, std::string_view name);

// Reads the running and waiting requests by vLLM's metric names, the start time of the process and
// whether the server reports that it is draining.
LoadReport parseLoadMetrics(const std::string &server, std::string_view text);

} // namespace ibisnotch
