// Learns from streams what forecasts need to know of the engines of a pool and of the answers of a
// service.
#pragma once

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
    double meanEventSeconds = 0; // the mean of the intervals in which it read few or none
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
};

// Thread safe.
class EngineStatistics
{
public:
    // Called for each event of a stream but the first, with the slowdown that its server stated.
    void onEvent(const std::string &pool, double intervalSeconds, double slowdown);
    void onStreamEnded(const std::string &pool, const std::string &service,
                       const EndedStream &stream);

    EngineFacts facts(const std::string &pool) const;
    double meanEvents(const std::string &service) const; // of an answer; 0 if unknown

private:
    struct Pool
    {
        int events = 0; // limited
        double lowInterval = 0;
        double highInterval = 0;
        double meanLowInterval = 0;
        double tokenSeconds = 0; // both sums fade at the same rate
        double streamSeconds = 0;
    };
    mutable std::mutex m_mutex;
    std::map<std::string, Pool> m_pools;
    std::map<std::string, double> m_meanEvents; // by service, smoothed
};

} // namespace ibisnotch
