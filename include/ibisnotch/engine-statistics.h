// Learns from streams what forecasts need to know of the engines of a pool and of the answers of a
// service.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "ibisnotch/clock.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// What is known of the engines of one pool; 0 if unknown.
struct EngineFacts
{
    double eventSeconds = 0; // between two events while an engine reads no prompts
    double meanEventSeconds = 0;
    double readingEventSeconds = 0; // between two events while it reads prompts all the time
    double heldTokens = 0; // mean memory that a running request takes
    bool operator==(const EngineFacts &) const = default;
};

// A stream that has ended completely.
struct EndedStream
{
    double tokens = 0; // of the prompt and the answer
    double events = 0;
    Duration streaming{}; // from the first event to the last
    double slowdown = 1; // that its server stated
};

// Returns the mean interval of the stream's events at the usual speed; 0 if it is too short.
double usualInterval(const EndedStream &stream);

// Thread safe.
class EngineStatistics
{
public:
    void onStreamEnded(const std::string &pool, const std::string &service,
                       const EndedStream &stream);

    // Called at the first event of a stream: the time for which it waited beyond the reading of its
    // own prompt, and the time in which the engine reads what was ahead of it.
    void onFirstEvent(const std::string &service, double waitSeconds, double aheadSeconds);

    // Called with the first event of a prompt of which an engine read this many tokens.
    void onPromptRead(const std::string &pool, std::int64_t tokens, Duration elapsed);
    // Returns the highest rate in tokens a millisecond at which a prompt was read lately, waiting
    // included, so a lower bound that is known under any load; 0 if there was none.
    double readRate(const std::string &pool) const;

    EngineFacts facts(const std::string &pool) const;
    // Returns the part of the prompts ahead for which requests of the service wait. It is low for
    // urgent ones, and above 1 where engines read more than was estimated.
    double aheadPart(const std::string &service) const;
    double meanEvents(const std::string &service) const; // of an answer; 0 if unknown

private:
    struct Pool
    {
        int streams = 0; // limited
        double lowInterval = 0;
        double highInterval = 0;
        double meanInterval = 0;
        double tokenSeconds = 0; // both sums fade at the same rate
        double streamSeconds = 0;
        double readRate = 0; // tokens a millisecond
    };
    mutable std::mutex m_mutex;
    std::map<std::string, Pool> m_pools;
    struct Wait
    {
        double seconds = 0; // both sums fade at the same rate
        double aheadSeconds = 0;
    };
    std::map<std::string, double> m_meanEvents; // by service, smoothed
    std::map<std::string, Wait> m_waits; // by service
};

} // namespace ibisnotch
