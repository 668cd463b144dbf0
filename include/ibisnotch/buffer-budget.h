// Bounds on the bytes that an instance holds for callers and backend servers that read slowly.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "ibisnotch/clock.h"

namespace ibisnotch {

struct BufferLimits
{
    // Bound of the bytes held for all exchanges together.
    std::size_t totalBytes = 64U << 20;
    // Bound of the bytes held for one caller; the server's response is not read further above it.
    std::size_t exchangeBytes = 1U << 20;
    // The same while the bytes of all exchanges are near their bound.
    std::size_t exchangeBytesWhenShort = 64U << 10;
    // A reader that needs longer than this for what is held for it reads too slowly.
    Duration slowReadTime = std::chrono::seconds(5);

    bool operator==(const BufferLimits &) const = default;
};

// Returns whether the bytes of all exchanges are near their bound.
bool isShortOfBuffers(const BufferLimits &limits, std::size_t totalHeld);

// Whether the response to one exchange is read from its server.
class ReadPacer
{
public:
    // Returns true while the response must not be read, given the bytes held for its caller and for
    // all exchanges.
    bool shouldPause(const BufferLimits &limits, std::size_t held, std::size_t totalHeld,
                     TimePoint now);
    bool isPaused() const { return m_isPaused; }
    // Time of the last pause's begin.
    TimePoint pausedSince() const { return m_pausedSince; }

private:
    bool m_isPaused = false;
    TimePoint m_pausedSince{};
};

// What is held for the reader of one exchange, and what it has taken since the exchange began.
struct ReaderSample
{
    std::uint64_t id = 0;
    std::size_t held = 0;
    std::uint64_t taken = 0;

    bool operator==(const ReaderSample &) const = default;
};

// Chooses the exchanges that end when too many bytes are held. Not thread-safe.
class BufferBudget
{
public:
    explicit BufferBudget(const BufferLimits &limits) : m_limits(limits) { }

    // Takes the samples of all readers and returns the ids of those whose exchanges must end: none
    // while the total is not near its bound. Otherwise those that read too slowly, the largest
    // holder first, until half of the bound is free. Forgets readers without a sample.
    std::vector<std::uint64_t> update(std::span<const ReaderSample> samples, std::size_t totalHeld,
                                      TimePoint now);
    // Returns whether there is room for another exchange with so many bytes of its own, which the
    // total includes. The last part of the bound is for small ones, which are most, so that a few
    // large ones can't keep them out.
    bool accepts(std::size_t totalHeld, std::size_t ownBytes) const;

private:
    // Progress of one reader. A window begins when bytes are held and none were before.
    struct Progress
    {
        TimePoint windowBegin{};
        std::uint64_t takenAtBegin = 0;
        double bytesPerSecond = 0;
        bool isMeasured = false; // a window has ended since bytes are held
    };

    void measure(Progress &progress, const ReaderSample &sample, TimePoint now) const;
    bool isSlow(const Progress &progress, std::size_t held) const;

    BufferLimits m_limits;
    std::map<std::uint64_t, Progress> m_readers;
};

} // namespace ibisnotch
