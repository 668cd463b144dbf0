// How long a prompt waits at a model engine before the engine reads it.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "ibisnotch/clock.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// Engines read prompts one after the other, so under load it is the prompts ahead that make a first
// token late, while slots are still free. Engines say with each answer how many requests wait; what
// one of them takes is learnt from first tokens. One instance of many sees too few first tokens of
// an engine to know the wait from them alone: what it measured was a tenth of the real one.

struct FirstTokenSample
{
    std::int64_t tokens = 0; // that the engine had to read
    double waiting = 0; // requests that waited at the engine when it came
    Duration elapsed{}; // since the prompt was sent
    double tokensPerMs = 0; // the best rate known of the engine's pool; 0: none yet
};

void recordFirstToken(ServerCounters &counters, const FirstTokenSample &first);

// How much engines have to read of a pool's prompts. Thread safe.
class PromptLengths
{
public:
    void onPrompt(const std::string &pool, std::int64_t tokens);
    double mean(const std::string &pool) const; // 0 before the first

private:
    mutable std::mutex m_mutex;
    std::map<std::string, double> m_means; // smoothed
};

// The wait that a prompt sent now would meet, at so many milliseconds for each request ahead.
Duration readDelay(const ServerView &view, double msPerWaitingRequest);

// The time in which this many tokens are read; none while the rate is not known (0).
Duration readTime(double tokensPerMs, std::int64_t tokens);

} // namespace ibisnotch
