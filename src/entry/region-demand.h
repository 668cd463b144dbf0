// What an instance contributes to the plan that divides requests among the regions.
#pragma once

#include <string>
#include <vector>

#include "ibisnotch/config.h"

namespace ibisnotch {

// Returns the names of the regions in the order of regionMask().
std::vector<std::string> sortedRegions(const std::vector<Region> &regions);

} // namespace ibisnotch
