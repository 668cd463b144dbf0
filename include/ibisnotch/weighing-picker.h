// Picks the model engine for a prompt by what its cached parts save there, the wait, and the delay
// of the requests that run there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "ibisnotch/engine-forecast.h"
#include "ibisnotch/prefix-cache.h"
#include "ibisnotch/prompt.h"
#include "ibisnotch/random.h"

namespace ibisnotch {

struct WeighedServer
{
    std::uint32_t server = 0; // serverId() of its name
    EngineState engine;
    // Added to the seconds that the request costs there. Decides between servers that are equal
    // otherwise.
    double extraSeconds = 0;
    bool operator==(const WeighedServer &) const = default;
};

struct WeighingInput
{
    std::span<const WeighedServer> servers; // must not be empty
    std::span<const PromptPart> sharedParts;
    // The request if all shared parts are kept: `tokensToRead` are its own tokens.
    EngineWork work;
    const PrefixBeliefs *beliefs = nullptr; // of these servers and parts, in the same order
    TimePoint now{};
};

struct WeighedChoice
{
    std::size_t index = 0; // of the server
    double keptTokens = 0; // shared tokens that it is expected to keep
    double sureness = 0; // probability that it keeps all of the shared parts
    double firstEventSeconds = 0; // as foreseen, from sending the request
    bool operator==(const WeighedChoice &) const = default;
};

// Returns how many servers should keep a part. Each of these copies should be used several times
// before its server has filled its room for parts anew, which takes `turnoverSeconds`.
std::size_t holderCount(double requestsPerSecond, double turnoverSeconds, std::size_t servers);

// Returns the probability that a server keeps each of the parts, in the same order, and with it all
// parts before it. Instances that never exchanged anything believe nearly the same, since each part
// has an order of servers that is the same everywhere.
std::vector<double> keptProbabilities(const WeighingInput &input, std::size_t index);

// Thread safe.
WeighedChoice pickWeighed(const WeighingInput &input, Random &random);

} // namespace ibisnotch
