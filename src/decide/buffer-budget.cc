#include "ibisnotch/buffer-budget.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// Share of the total bound from which on each exchange has the smaller bound and slow readers are
// ended, and share down to which they are. The rest of the bound is for the time that it takes to
// measure readers.
constexpr double shortShare = 0.75;
constexpr double relievedShare = 0.5;
// Time over which a reader's rate is measured. A socket's buffer takes bytes in bursts, several a
// second from a reader that keeps up.
constexpr Duration rateWindow = std::chrono::seconds(1);
// A server cuts off a response that stays unread for seconds. After this time a paused response is
// read again as soon as its caller has taken a few pieces, without waiting for the low mark.
constexpr Duration longPause = std::chrono::milliseconds(500);
constexpr std::size_t pieceBytes = 4096; // read from a server at once
constexpr std::size_t resumeRoom = 2 * pieceBytes;

} // namespace

bool isShortOfBuffers(const BufferLimits &limits, std::size_t totalHeld)
{
    return static_cast<double>(totalHeld) > shortShare * static_cast<double>(limits.totalBytes);
}

bool ReadPacer::shouldPause(const BufferLimits &limits, std::size_t held, std::size_t totalHeld,
                            TimePoint now)
{
    const std::size_t bound = isShortOfBuffers(limits, totalHeld)
        ? std::min(limits.exchangeBytesWhenShort, limits.exchangeBytes)
        : limits.exchangeBytes;
    if (!m_isPaused) {
        m_isPaused = held > bound;
        if (m_isPaused)
            m_pausedSince = now;
        return m_isPaused;
    }
    const bool isLong = now - m_pausedSince >= longPause;
    const std::size_t lowMark = bound / 2;
    const std::size_t highMark = bound - std::min(bound, resumeRoom);
    m_isPaused = held > (isLong ? std::max(lowMark, highMark) : lowMark);
    return m_isPaused;
}

void BufferBudget::measure(Progress &progress, const ReaderSample &sample, TimePoint now) const
{
    const bool begins = progress.windowBegin == TimePoint{};
    if (sample.held == 0 || begins) {
        progress = {now, sample.taken, 0, false};
        return;
    }
    const Duration window = now - progress.windowBegin;
    if (window < rateWindow)
        return;
    progress.bytesPerSecond = static_cast<double>(sample.taken - progress.takenAtBegin)
        / std::chrono::duration<double>(window).count();
    progress.isMeasured = true;
    progress.windowBegin = now;
    progress.takenAtBegin = sample.taken;
}

bool BufferBudget::isSlow(const Progress &progress, std::size_t held) const
{
    const double readable
        = progress.bytesPerSecond * std::chrono::duration<double>(m_limits.slowReadTime).count();
    return progress.isMeasured && static_cast<double>(held) > readable;
}

bool BufferBudget::accepts(std::size_t totalHeld, std::size_t ownBytes) const
{
    if (ownBytes <= m_limits.exchangeBytesWhenShort)
        return totalHeld <= m_limits.totalBytes;
    return !isShortOfBuffers(m_limits, totalHeld - std::min(totalHeld, ownBytes));
}

std::vector<std::uint64_t> BufferBudget::update(std::span<const ReaderSample> samples,
                                                std::size_t totalHeld, TimePoint now)
{
    std::map<std::uint64_t, Progress> readers;
    std::vector<ReaderSample> slow;
    for (const ReaderSample &sample : samples) {
        Progress progress = m_readers[sample.id];
        measure(progress, sample, now);
        if (isSlow(progress, sample.held))
            slow.push_back(sample);
        readers.emplace(sample.id, progress);
    }
    m_readers = std::move(readers);
    std::vector<std::uint64_t> ended;
    if (!isShortOfBuffers(m_limits, totalHeld))
        return ended;
    const double relieved = relievedShare * static_cast<double>(m_limits.totalBytes);
    std::sort(slow.begin(), slow.end(), [](const ReaderSample &a, const ReaderSample &b) {
        return a.held != b.held ? a.held > b.held : a.id < b.id;
    });
    for (const ReaderSample &one : slow) {
        if (static_cast<double>(totalHeld) <= relieved)
            break;
        ended.push_back(one.id);
        totalHeld -= std::min(totalHeld, one.held);
    }
    return ended;
}

} // namespace ibisnotch
