// Server-sent events with rising numbers: what may be passed on, and where a stream may go on.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ibisnotch {

// Cuts a stream into whole events. A server that fails may stop in the middle of one; passing on
// half an event would leave a stream that nothing can follow.
class EventStreamParser
{
public:
    // `lastEventId` is the number of the last event that the caller has; empty for none.
    explicit EventStreamParser(const std::string &lastEventId);

    // Appends the whole events to `out`. False if an event has no number, or none above the last
    // one: a piece is doubled or belongs to another stream.
    bool consume(std::string_view data, std::string &out);

    // Whole events so far.
    int eventCount() const { return m_eventCount; }
    // Nothing is left of an event that has begun.
    bool isComplete() const { return m_partial.empty(); }
    // The number of the last whole event as it was written; empty for none.
    const std::string &lastEventId() const { return m_lastEventId; }

private:
    bool acceptEvent(std::string_view event);

    std::string m_partial;
    std::string m_lastEventId;
    std::int64_t m_lastNumber = -1;
    int m_eventCount = 0;
};

} // namespace ibisnotch
