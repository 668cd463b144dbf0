// How fast the streams of a model engine go, and how slow they may get.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "ibisnotch/clock.h"
#include "ibisnotch/config.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// An engine makes the next tokens of all its streams together, and reads prompts in between. Once
// it reads all the time, streams go several times as slowly: first tokens still come in time and
// slots are free, but long answers run into their deadlines, and what they took was taken in vain.

// `events` events of one stream came in `taken`.
void recordEvents(ServerCounters &counters, int events, Duration elapsed, TimePoint now);

// Seconds between two events of a stream there, smoothed; 0 where none came lately.
double eventIntervalSeconds(const ServerCounters &counters, TimePoint now);

// What an instance has seen of the answers of each pool's services. Thread safe.
class StreamStatistics
{
public:
    // A stream of the service ended whole after this many events.
    // `priority` is the request's.
    void onStreamEnded(const Service &service, int priority, const std::string &pool, int events,
                       TimePoint now);

    // The seconds between two events at which long answers of the pool's services still end before
    // their deadline, and without a pause that makes them late. 0 while nothing is known.
    double maxEventIntervalSeconds(const std::string &pool, TimePoint now) const;

    // How many services that use the pool are less urgent than this one.
    int lessUrgentServices(const std::string &pool, int priority, TimePoint now) const;

private:
    struct ServiceStatistics
    {
        std::string pool;
        int priority = 0;
        double meanEvents = 0; // of an answer, smoothed
        int streams = 0;
        double maxEventIntervalSeconds = 0; // seconds between two events
        TimePoint at{};
    };

    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, int>, ServiceStatistics>
        m_statistics; // by service and priority
};

} // namespace ibisnotch
