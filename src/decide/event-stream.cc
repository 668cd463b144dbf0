#include "ibisnotch/event-stream.h"

#include <algorithm>
#include <optional>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace ibisnotch {

namespace {

constexpr std::string_view eventSeparator = "\n\n";
constexpr std::string_view statusLineStart = "HTTP/1.";
constexpr std::size_t maxEventBytes = 1U << 20;
constexpr std::size_t keptCapacity = 32U << 10;

// Returns the value of the field "id" of an event; empty if there is none.
std::string_view eventId(std::string_view event)
{
    for (const absl::string_view line :
         absl::StrSplit(absl::string_view(event.data(), event.size()), '\n')) {
        if (!absl::StartsWithIgnoreCase(line, "id:"))
            continue;
        const absl::string_view value = absl::StripAsciiWhitespace(line.substr(3));
        return {value.data(), value.size()};
    }
    return {};
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number))
        return std::nullopt;
    return number;
}

} // namespace

EventStreamParser::EventStreamParser(const std::string &lastEventId, std::string removedComment)
    : m_removedComment(std::move(removedComment)), m_lastEventId(lastEventId)
{
    m_lastNumber = parseNumber(lastEventId).value_or(-1);
}

bool EventStreamParser::acceptEvent(std::string_view event)
{
    // A stream without a length takes in a response that its server sends behind it.
    if (event.starts_with(statusLineStart))
        return false;
    const std::string_view text = eventId(event);
    const auto number = parseNumber(text);
    if (!number || *number <= m_lastNumber)
        return false;
    ++m_eventCount;
    m_lastNumber = *number;
    m_lastEventId = std::string(text);
    return true;
}

// Returns where the event in [begin, end) continues after its comment, if it has one that is to be
// removed.
std::size_t EventStreamParser::skipComment(std::size_t begin, std::size_t end)
{
    const std::string_view block = std::string_view(m_partial).substr(begin, end - begin);
    if (m_removedComment.empty() || !block.starts_with(m_removedComment))
        return begin;
    const std::size_t lineEnd = std::min(block.find('\n'), block.size());
    m_lastComment = block.substr(m_removedComment.size(), lineEnd - m_removedComment.size());
    return begin + std::min(lineEnd + 1, block.size());
}

bool EventStreamParser::consume(std::string_view data, std::string &out)
{
    // What was searched before isn't searched again, as an event may come byte by byte.
    const std::size_t searched = m_partial.size() - std::min<std::size_t>(m_partial.size(), 1);
    m_partial.append(data);
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = m_partial.find(eventSeparator, std::max(begin, searched));
        if (end == std::string::npos)
            break;
        const std::size_t next = end + eventSeparator.size();
        const std::size_t eventBegin = skipComment(begin, end);
        if (!acceptEvent(std::string_view(m_partial).substr(eventBegin, end - eventBegin)))
            return false;
        out.append(m_partial, eventBegin, next - eventBegin);
        begin = next;
    }
    m_partial.erase(0, begin);
    // A long event must not leave its memory behind.
    if (m_partial.capacity() > keptCapacity && m_partial.size() <= keptCapacity / 2)
        m_partial.shrink_to_fit();
    return m_partial.size() <= maxEventBytes;
}

} // namespace ibisnotch
