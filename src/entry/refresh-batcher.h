// Shares one read of the store among all who need to know its present state at the same time.
#pragma once

#include <functional>
#include <vector>

#include "ibisnotch/clock.h"
#include "suspect-writer.h"

namespace ibisnotch {

// Not thread safe; used on the control loop only.
class RefreshBatcher
{
public:
    using Done = std::function<void(bool isCurrent)>;
    // Starts a read. Its argument is called with whether every change is known now that the store
    // had accepted when the read began.
    using Read = std::function<void(Done)>;

    // Between the starts of two reads, as the platform limits and counts calls.
    static constexpr Duration minInterval = std::chrono::milliseconds(200);
    // Time after which a read counts as failed. The store usually answers within 4 ms, and an
    // overloaded one a hundred times slower.
    static constexpr Duration readTimeout = std::chrono::milliseconds(450);
    static constexpr std::size_t maxWaiting = 4096;

    RefreshBatcher(TaskRunner &tasks, const Clock &clock, Read read)
        : m_tasks(tasks), m_clock(clock), m_read(std::move(read))
    {
    }

    // Calls `done` once, with the outcome of a read that begins after this call.
    void request(Done done);

private:
    void scheduleRead();
    void startRead();
    void onRead(int read, bool isCurrent);

    TaskRunner &m_tasks;
    const Clock &m_clock;
    Read m_read;
    std::vector<Done> m_waiting; // for the next read
    std::vector<Done> m_reading; // for the read in progress
    bool m_isScheduled = false;
    bool m_isReading = false;
    int m_lastRead = 0; // number of the last read that began
    TimePoint m_nextReadAt{};
};

} // namespace ibisnotch
