// Estimates how long a prompt waits at a model engine before the engine reads it.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "ibisnotch/clock.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// Engines read prompts one after the other. Under load, first tokens are therefore late because of
// the prompts ahead, even while slots are free. Engines report the number of waiting requests with
// each response, and the delay per waiting request is estimated from first tokens. First tokens
// alone aren't enough: an instance of a large region receives so few from each engine that it
// measured a tenth of the actual delay.

// Measurement of the first token of a response.
struct FirstTokenSample
{
    std::int64_t tokens = 0; // number of prompt tokens that the engine had to read
    double waiting = 0; // waiting requests that the engine reported with the response
    Duration elapsed{}; // since the prompt was sent
    double tokensPerMs = 0; // highest known reading rate of the engine's pool; 0 if unknown
};

// Updates the reading rate and the delay per waiting request. Not atomic: of two concurrent calls
// one sample may be lost, which doesn't matter among many.
void recordFirstToken(ServerCounters &counters, const FirstTokenSample &sample);

// The mean number of tokens that engines must read per prompt of each pool. Thread safe.
class PromptLengths
{
public:
    void onPrompt(const std::string &pool, std::int64_t tokens);
    double mean(const std::string &pool) const; // 0 before the first prompt

private:
    mutable std::mutex m_mutex;
    std::map<std::string, double> m_means; // smoothed, by pool
};

// Returns the wait of a prompt sent now if each request ahead of it takes `msPerWaitingRequest`.
Duration readDelay(const ServerView &view, double msPerWaitingRequest);

// Returns the time in which an engine reads this many tokens; zero if the rate is unknown (0).
Duration readTime(double tokensPerMs, std::int64_t tokens);

} // namespace ibisnotch
