#include "refresh-batcher.h"

#include <utility>

namespace ibisnotch {

void RefreshBatcher::request(Done done)
{
    if (m_waiting.size() >= maxWaiting)
        return done(false);
    m_waiting.push_back(std::move(done));
    scheduleRead();
}

void RefreshBatcher::scheduleRead()
{
    if (m_isScheduled || m_isReading || m_waiting.empty())
        return;
    const Duration wait = m_nextReadAt - m_clock.now();
    if (wait <= Duration(0))
        return startRead();
    m_isScheduled = true;
    m_tasks.postAfter(wait, [this] {
        m_isScheduled = false;
        startRead();
    });
}

void RefreshBatcher::startRead()
{
    m_nextReadAt = m_clock.now() + minInterval;
    m_isReading = true;
    m_reading = std::exchange(m_waiting, {});
    const int read = ++m_lastRead;
    m_tasks.postAfter(readTimeout, [this, read] { onRead(read, false); });
    m_read([this, read](bool isCurrent) { onRead(read, isCurrent); });
}

void RefreshBatcher::onRead(int read, bool isCurrent)
{
    if (!m_isReading || read != m_lastRead)
        return;
    m_isReading = false;
    for (const Done &done : std::exchange(m_reading, {}))
        done(isCurrent);
    scheduleRead();
}

} // namespace ibisnotch
