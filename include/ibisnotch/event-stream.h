// Server-sent events with rising numbers: what may be passed on, and where a stream may go on.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ibisnotch {

// Cuts a stream into whole events. A server that fails may stop in the middle of one; passing on
// half an event would leave a stream that nothing can follow.
class EventStream
{
public:
    // `lastEvent` is the number of the last event that the caller has; empty for none.
    explicit EventStream(const std::string &lastEvent);

    // Appends the whole events to `out`. False if an event has no number, or none above the last
    // one: a piece is doubled or belongs to another stream.
    bool take(std::string_view data, std::string &out);

    // Whole events so far.
    int count() const { return m_count; }
    // Nothing is left of an event that has begun.
    bool whole() const { return m_partial.empty(); }
    // The number of the last whole event as it was written; empty for none.
    const std::string &lastEvent() const { return m_lastEvent; }

private:
    bool checkEvent(std::string_view event);

    std::string m_partial;
    std::string m_lastEvent;
    std::int64_t m_number = -1;
    int m_count = 0;
};

} // namespace ibisnotch
