// Parses streams of server-sent events with increasing ids, which may be resumed after an event.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ibisnotch {

// Splits a stream into complete events. A server that fails may stop in the middle of an event; a
// stream whose caller has received half an event could not be resumed.
class EventStreamParser
{
public:
    // `lastEventId` is the id of the last event that the caller has received; empty if none. A
    // comment at the beginning of an event that starts with `removedComment` is not passed on.
    explicit EventStreamParser(const std::string &lastEventId, std::string removedComment = "");

    // Consumes data and appends the events that it completes to `out`. Returns false if an event's
    // id is missing or not above the last one, that is, if data is duplicated or belongs to another
    // stream, or if an event is longer than 1 MiB.
    bool consume(std::string_view data, std::string &out);

    // Returns the number of complete events so far.
    int eventCount() const { return m_eventCount; }
    // Returns the memory that the beginning of an unfinished event takes.
    std::size_t heldBytes() const { return m_partial.empty() ? 0 : m_partial.capacity(); }
    // Returns whether the data ends with a complete event.
    bool isComplete() const { return m_partial.empty(); }
    // Returns what followed the beginning of the last removed comment; empty if there was none.
    const std::string &lastComment() const { return m_lastComment; }
    // Returns the id of the last complete event as the server sent it; empty if none.
    const std::string &lastEventId() const { return m_lastEventId; }

private:
    bool acceptEvent(std::string_view event);
    std::size_t skipComment(std::size_t begin, std::size_t end);

    std::string m_removedComment;
    std::string m_partial;
    std::string m_lastComment;
    std::string m_lastEventId;
    std::int64_t m_lastNumber = -1;
    int m_eventCount = 0;
};

} // namespace ibisnotch
