#include "ibisnotch/answer-check.h"

#include <nlohmann/json.hpp>

namespace ibisnotch {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataField = "data: ";
constexpr std::string_view doneMark = "[DONE]";
constexpr std::size_t largestEvent = 1U << 20;
constexpr std::size_t largestJson = 8U << 20;

} // namespace

AnswerCheck::AnswerCheck(std::string requestId, AnswerForm form)
    : m_requestId(std::move(requestId)), m_form(form)
{
}

AnswerVerdict AnswerCheck::onHead(int status, const Headers &headers)
{
    m_status = status;
    const auto echoed = headers.get(requestIdHeader);
    if (!echoed || *echoed != m_requestId)
        return AnswerVerdict::notOurs;
    const auto type = headers.get("Content-Type").value_or("");
    const bool streamed = type.rfind("text/event-stream", 0) == 0;
    // An error answer to a streamed request is a plain JSON document.
    if (m_form == AnswerForm::eventStream && !streamed)
        m_form = AnswerForm::json;
    return AnswerVerdict::good;
}

AnswerVerdict AnswerCheck::checkEvent(std::string_view event)
{
    if (event.substr(0, dataField.size()) != dataField)
        return AnswerVerdict::good; // a comment or another field
    const std::string_view data = event.substr(dataField.size());
    if (data == doneMark) {
        m_done = true;
        return AnswerVerdict::good;
    }
    const auto json = nlohmann::json::parse(data, nullptr, false);
    if (!json.is_object() || m_done)
        return AnswerVerdict::broken;
    const std::string id = json.value("id", "");
    if (m_completionId.empty())
        m_completionId = id;
    // Two streams that were mixed up below HTTP would each look well formed; the completion id is
    // what tells one from the other.
    if (id.empty() || id != m_completionId)
        return AnswerVerdict::notOurs;
    return AnswerVerdict::good;
}

AnswerVerdict AnswerCheck::onData(std::string_view data, std::string &out)
{
    if (m_form != AnswerForm::eventStream) {
        out.append(data);
        if (m_form == AnswerForm::json && m_body.size() <= largestJson)
            m_body.append(data);
        return AnswerVerdict::good;
    }
    m_partial.append(data);
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = m_partial.find(eventEnd, begin);
        if (end == std::string::npos)
            break;
        const AnswerVerdict verdict
            = checkEvent(std::string_view(m_partial).substr(begin, end - begin));
        if (verdict != AnswerVerdict::good)
            return verdict;
        begin = end + eventEnd.size();
    }
    out.append(m_partial, 0, begin);
    m_partial.erase(0, begin);
    return m_partial.size() > largestEvent ? AnswerVerdict::broken : AnswerVerdict::good;
}

bool AnswerCheck::whole() const
{
    switch (m_form) {
    case AnswerForm::eventStream:
        return m_done && m_partial.empty();
    case AnswerForm::json:
        return m_body.size() > largestJson || nlohmann::json::accept(m_body);
    case AnswerForm::plain:
        return true;
    }
    return true;
}

} // namespace ibisnotch
