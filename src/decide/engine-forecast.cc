#include "ibisnotch/engine-forecast.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// An engine reads a long prompt in chunks of about this many tokens, with the next token of all its
// streams in between.
constexpr double chunkTokens = 2048;

double readSeconds(const EngineState &engine, double tokens)
{
    constexpr double msPerSecond = 1000;
    return engine.tokensPerMs > 0 ? tokens / engine.tokensPerMs / msPerSecond : 0;
}

double readingEventSeconds(const EngineState &engine)
{
    const double known = engine.readingEventSeconds;
    return known > engine.eventSeconds ? known
                                       : engine.eventSeconds + readSeconds(engine, chunkTokens);
}

// Returns the interval of events while as many prompts arrive as lately.
double currentEventSeconds(const EngineState &engine)
{
    return std::clamp(engine.recentEventSeconds, engine.eventSeconds,
                      std::max(engine.eventSeconds, readingEventSeconds(engine)));
}

// Returns the time in which a stream gets this many events while the engine reads prompts all the
// time for the first `reading` seconds, and then reads as many as lately.
double streamSeconds(const EngineState &engine, double events, double reading)
{
    const double slowInterval = readingEventSeconds(engine);
    if (slowInterval <= 0)
        return 0;
    const double slowEvents = std::min(events, reading / slowInterval);
    return slowEvents * slowInterval + (events - slowEvents) * currentEventSeconds(engine);
}

// Returns the time until the engine has a slot for one more request. Slots become free evenly while
// answers like this one end.
double slotWaitSeconds(const EngineState &engine, double answerSeconds)
{
    const double excess = engine.running + engine.waiting + 1 - engine.slots;
    return excess > 0 ? excess * answerSeconds / std::max(1.0, engine.slots) : 0;
}

// Returns the tokens by which the memory is too small once all that was sent is read.
double missingMemory(const EngineState &engine, const EngineWork &work)
{
    if (engine.cacheTokens <= 0)
        return 0;
    return std::max(
        0.0, engine.usedTokens + engine.unreadTokens + work.totalTokens - engine.cacheTokens);
}

} // namespace

EngineForecast forecast(const EngineState &engine, const EngineWork &work)
{
    const double ownRead = readSeconds(engine, work.tokensToRead);
    const double ahead = readSeconds(engine, engine.unreadTokens);
    // Prompts that arrive meanwhile are read after this one. If as many go on to arrive, they are
    // as many as were ahead of it.
    const double readLater = ahead;
    const double answer = streamSeconds(engine, work.events, readLater);
    // The first event comes soon after the prompt is read, also while other prompts are read next.
    const double firstInterval = std::min(1.0, work.events) * engine.eventSeconds;
    const double missing = missingMemory(engine, work);
    // Memory becomes free while running requests end.
    const double memoryWait
        = missing > 0 ? answer * missing / std::max(engine.usedTokens, missing) : 0;
    const double start = std::max({ahead, slotWaitSeconds(engine, answer), memoryWait});

    EngineForecast result;
    result.fitsMemory = missing <= 0;
    result.firstEventSeconds = engine.slowdown * (start + ownRead + firstInterval);
    result.endSeconds = engine.slowdown * (start + ownRead + answer);
    result.longestGapSeconds = engine.slowdown
        * std::max({currentEventSeconds(engine), readSeconds(engine, chunkTokens),
                    std::min(readingEventSeconds(engine), engine.eventSeconds + readLater)});
    // An evicted request is delayed by reading it again, and so are the others.
    result.harmSeconds = engine.slowdown
        * (ownRead * engine.running + readSeconds(engine, missing) * (engine.running + 1));
    return result;
}

} // namespace ibisnotch
