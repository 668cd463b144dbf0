// Digest of the rules by which the configuration decides where and how a request runs.
#pragma once

#include <string>

#include "ibisnotch/config.h"

namespace ibisnotch {

// Returns a digest that is the same on all instances whose configurations treat the customer's
// requests for the service alike, whatever else differs between their versions. Weights, worth and
// priorities, which only order requests, are left out.
std::string rulesDigest(const FleetConfig &config, const Customer &customer,
                        const Service &service);

} // namespace ibisnotch
