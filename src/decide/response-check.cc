#include "ibisnotch/response-check.h"

#include <algorithm>

#include <absl/strings/match.h>
#include <nlohmann/json.hpp>

namespace ibisnotch {

namespace {

constexpr std::string_view eventSeparator = "\n\n";
constexpr std::string_view dataField = "data: ";
constexpr std::string_view doneData = "[DONE]";
constexpr std::size_t maxEventBytes = 1U << 20;
constexpr std::size_t keptCapacity = 32U << 10;

bool isField(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                  absl::string_view(b.data(), b.size()));
}

} // namespace

MismatchCause findForeign(const Headers &headers, std::string_view idField,
                          std::string_view requestId)
{
    bool isNamed = requestId.empty();
    for (const auto &[name, value] : headers.fields()) {
        if (!isField(name, idField))
            continue;
        if (value != requestId)
            return MismatchCause::otherRequest;
        isNamed = true;
    }
    return isNamed ? MismatchCause::none : MismatchCause::noRequest;
}

void JsonExtent::add(std::string_view text)
{
    for (const char c : text)
        addCharacter(c);
}

void JsonExtent::addCharacter(char c)
{
    if (m_isInString) {
        m_isInString = m_isEscaped || c != '"';
        m_isEscaped = !m_isEscaped && c == '\\';
        return;
    }
    const bool isBlank = c == ' ' || c == '\t' || c == '\r' || c == '\n';
    const bool isOpening = c == '{' || c == '[';
    const bool isClosing = c == '}' || c == ']';
    const bool isOutside = m_depth == 0;
    if (isOutside && !isBlank && (m_hasBegun || !isOpening))
        m_isFaulty = true;
    m_isInString = c == '"';
    m_hasBegun = m_hasBegun || isOpening;
    m_depth += isOpening ? 1 : 0;
    m_depth -= isClosing && !isOutside ? 1 : 0;
}

ResponseCheck::ResponseCheck(std::string requestId, ResponseFormat format)
    : m_requestId(std::move(requestId)), m_format(format)
{
}

ResponseVerdict ResponseCheck::onHead(int status, const Headers &headers)
{
    m_status = status;
    if (findForeign(headers, requestIdHeader, m_requestId) != MismatchCause::none)
        return ResponseVerdict::wrongRequest;
    const auto type = headers.get("Content-Type").value_or("");
    const bool streamed = type.rfind("text/event-stream", 0) == 0;
    // The error response to a streaming request is a plain JSON document.
    if (m_format == ResponseFormat::eventStream && !streamed)
        m_format = ResponseFormat::json;
    return ResponseVerdict::valid;
}

ResponseVerdict ResponseCheck::checkEvent(std::string_view event)
{
    if (event.substr(0, dataField.size()) != dataField)
        return ResponseVerdict::valid; // a comment or another field
    const std::string_view data = event.substr(dataField.size());
    if (data == doneData) {
        m_done = true;
        return ResponseVerdict::valid;
    }
    const auto json = nlohmann::json::parse(data, nullptr, false);
    if (!json.is_object() || m_done)
        return ResponseVerdict::malformed;
    const std::string id = json.value("id", "");
    if (m_completionId.empty())
        m_completionId = id;
    // If a server mixes up two streams, each event is still well formed. Only the completion id
    // shows that it belongs to another request.
    if (id.empty() || id != m_completionId)
        return ResponseVerdict::wrongRequest;
    return ResponseVerdict::valid;
}

ResponseVerdict ResponseCheck::onData(std::string_view data, std::string &out)
{
    if (m_format != ResponseFormat::eventStream) {
        out.append(data);
        if (m_format == ResponseFormat::json) {
            m_extent.add(data);
            if (m_hasCopy)
                m_body.append(data);
        }
        return ResponseVerdict::valid;
    }
    // What was searched before isn't searched again, as an event may come byte by byte.
    const std::size_t searched = m_partial.size() - std::min<std::size_t>(m_partial.size(), 1);
    m_partial.append(data);
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = m_partial.find(eventSeparator, std::max(begin, searched));
        if (end == std::string::npos)
            break;
        const ResponseVerdict verdict
            = checkEvent(std::string_view(m_partial).substr(begin, end - begin));
        if (verdict != ResponseVerdict::valid)
            return verdict;
        begin = end + eventSeparator.size();
    }
    out.append(m_partial, 0, begin);
    m_partial.erase(0, begin);
    // A long event must not leave its memory behind.
    if (m_partial.capacity() > keptCapacity && m_partial.size() <= keptCapacity / 2)
        m_partial.shrink_to_fit();
    return m_partial.size() > maxEventBytes ? ResponseVerdict::malformed : ResponseVerdict::valid;
}

std::size_t ResponseCheck::heldBytes() const
{
    const std::size_t partial = m_partial.empty() ? 0 : m_partial.capacity();
    return partial + (m_body.empty() ? 0 : m_body.capacity());
}

void ResponseCheck::dropCopy()
{
    m_hasCopy = false;
    std::string().swap(m_body); // an assignment would keep its memory
}

bool ResponseCheck::isComplete() const
{
    switch (m_format) {
    case ResponseFormat::eventStream:
        return m_done && m_partial.empty();
    case ResponseFormat::json:
        return m_hasCopy ? nlohmann::json::accept(m_body) : m_extent.isComplete();
    case ResponseFormat::plain:
        return true;
    }
    return true;
}

} // namespace ibisnotch
