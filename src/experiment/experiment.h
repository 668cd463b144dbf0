// One run of made-up arrivals through the decision libraries.
#pragma once

#include <cstdint>
#include <vector>

#include "ibisnotch/config.h"

namespace ibisnotch {

enum class Pick { random, roundRobin, leastReported, twoChoices, affinity };
enum class Spreading { home, eager, margin };

// What differs between the rows; all else is the same for all of them.
struct Policy
{
    const char *name = "";
    Pick pick = Pick::affinity;
    Spreading spreading = Spreading::margin;
    bool admission = true;
    bool byWorth = true;
};

inline constexpr Policy policies[] = {
    {"current", Pick::affinity, Spreading::margin, true},
    {"pick: random", Pick::random, Spreading::margin, true},
    {"pick: round robin", Pick::roundRobin, Spreading::margin, true},
    {"pick: least reported", Pick::leastReported, Spreading::margin, true},
    {"pick: two choices", Pick::twoChoices, Spreading::margin, true},
    {"regions: home only", Pick::affinity, Spreading::home, true},
    {"regions: no margin", Pick::affinity, Spreading::eager, true},
    {"admission: no worth", Pick::affinity, Spreading::margin, true, false},
    {"no admission", Pick::affinity, Spreading::margin, false},
    {"simplest", Pick::leastReported, Spreading::eager, false},
};

struct Setup
{
    Policy policy;
    Weights weights;
    double load = 1;
    bool loseRegion = false;
    bool returnEngines = false;
    std::uint64_t seed = 1;
};

struct Outcome
{
    std::vector<double> latencies;
    int arrived = 0;
    int served = 0;
    int refused = 0;
    int away = 0;
    double cost = 0;
    double worth = 0;
    double worthInTime = 0;
};

Outcome runExperiment(const Setup &setup);

} // namespace ibisnotch
