// Simulates a fleet with random arrivals. The entry instances use the decision libraries.
#pragma once

#include <cstdint>
#include <vector>

#include "ibisnotch/config.h"

namespace ibisnotch {

enum class Pick { random, roundRobin, leastReported, twoChoices, affinity };
// When requests are forwarded to another region: never, whenever that region is expected to be
// faster, or only when it is faster by a margin.
enum class Forwarding { never, withoutMargin, withMargin };

// One row of the comparison. Everything else is the same for all rows.
struct Policy
{
    const char *name = "";
    Pick pick = Pick::affinity;
    Forwarding forwarding = Forwarding::withMargin;
    bool admission = true;
    bool byWorth = true; // whether admission takes the worth of a request into account
};

inline constexpr Policy policies[] = {
    {"current", Pick::affinity, Forwarding::withMargin, true},
    {"pick: random", Pick::random, Forwarding::withMargin, true},
    {"pick: round robin", Pick::roundRobin, Forwarding::withMargin, true},
    {"pick: least reported", Pick::leastReported, Forwarding::withMargin, true},
    {"pick: two choices", Pick::twoChoices, Forwarding::withMargin, true},
    {"regions: home only", Pick::affinity, Forwarding::never, true},
    {"regions: no margin", Pick::affinity, Forwarding::withoutMargin, true},
    {"admission: no worth", Pick::affinity, Forwarding::withMargin, true, false},
    {"no admission", Pick::affinity, Forwarding::withMargin, false},
    {"simplest", Pick::leastReported, Forwarding::withoutMargin, false},
};

struct Setup
{
    Policy policy;
    Weights weights;
    double load = 1; // demand divided by the capacity of all regions
    bool failRegion = false; // the first region fails during the run
    bool restartEngines = false; // half of the engines fail and come back with cold caches
    std::uint64_t seed = 1;
};

struct Outcome
{
    std::vector<double> latencies; // in seconds
    int arrived = 0;
    int served = 0;
    int rejected = 0;
    int servedRemotely = 0; // by an engine of another region
    double cost = 0; // engine time in seconds, weighted by the engine's cost
    double worth = 0; // of all requests that arrived
    double worthInTime = 0; // of the requests served before their deadlines
};

Outcome runExperiment(const Setup &setup);

} // namespace ibisnotch
