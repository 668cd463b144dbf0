// Measures the event interval of the streams of model engines, and the interval up to which they
// still end in time.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "ibisnotch/clock.h"
#include "ibisnotch/config.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

// An engine generates the next tokens of all its streams together and reads prompts in between. If
// it reads prompts all the time, streams become several times slower: first tokens are still in
// time and slots are free, but long answers exceed their deadlines and the work for them is lost.

// Records that `events` events of one stream arrived within `elapsed`. Not atomic: of two
// concurrent calls one sample may be lost, which doesn't matter among many.
void recordEvents(ServerCounters &counters, int events, Duration elapsed, TimePoint now);

// Returns the smoothed time between two events of a stream at the server; 0 if none arrived
// recently.
double eventIntervalSeconds(const ServerCounters &counters, TimePoint now);

// Statistics of the streams of each service, by which an instance decides how slow the streams of a
// pool may become. Thread safe.
class StreamStatistics
{
public:
    // Called when a stream has ended completely after this many events; `priority` is that of the
    // request.
    void onStreamEnded(const Service &service, int priority, const std::string &pool, int events,
                       TimePoint now);

    // Returns the event interval in seconds up to which long answers of all services of the pool
    // end before their deadlines and don't exceed their maximum gap between events. 0 if unknown.
    double maxEventIntervalSeconds(const std::string &pool, TimePoint now) const;

    // Returns how many services that used the pool recently are less urgent than `priority`.
    int lessUrgentServices(const std::string &pool, int priority, TimePoint now) const;

private:
    struct ServiceStatistics
    {
        std::string pool;
        int priority = 0;
        double meanEvents = 0; // mean number of events of a stream, smoothed
        int streams = 0; // number of streams in the mean, limited to maxStreamsWeighed
        double maxEventIntervalSeconds = 0;
        TimePoint updatedAt{};
    };

    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, int>, ServiceStatistics>
        m_statistics; // by service and priority
};

} // namespace ibisnotch
