// Forecasts what a model engine will do with one more request.
#pragma once

#include <cstdint>

namespace ibisnotch {

// What is known of one model engine.
struct EngineState
{
    double slots = 1; // requests that it runs concurrently
    double running = 0;
    double waiting = 0;
    double unreadTokens = 0; // prompt tokens of its requests that it still has to read
    double usedTokens = 0; // cache memory taken by its requests, which can't be evicted
    double cacheTokens = 0; // capacity of that memory; 0 if unknown
    double tokensPerMs = 0; // rate at which it reads prompts at its usual speed; 0 if unknown
    double eventSeconds = 0; // between two events of a stream while it reads no prompts; 0: unknown
    double slowdown = 1; // factor by which work takes longer on its machine now; 1 is usual
    // Between two events of a stream while it reads prompts all the time; 0 if unknown.
    double readingEventSeconds = 0;
    // Between two events lately, with the reading of prompts that arrived meanwhile; 0 if unknown.
    double recentEventSeconds = 0;
    bool operator==(const EngineState &) const = default;
};

// What is known of a request before it is sent.
struct EngineWork
{
    double tokensToRead = 0; // prompt tokens that the engine doesn't hold
    double totalTokens = 0; // cache memory that the request takes
    double events = 0; // expected events of the answer
    bool operator==(const EngineWork &) const = default;
};

struct EngineForecast
{
    double firstEventSeconds = 0;
    double longestGapSeconds = 0; // between two events
    double endSeconds = 0;
    // Time by which the requests that run there are delayed, summed over them.
    double harmSeconds = 0;
    bool fitsMemory = true; // false if running requests would be evicted
    bool operator==(const EngineForecast &) const = default;
};

// Assumes that the engine goes on to receive prompts as it did.
EngineForecast forecast(const EngineState &engine, const EngineWork &work);

} // namespace ibisnotch
