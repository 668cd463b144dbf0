#include "ibisnotch/response-head.h"

#include <algorithm>
#include <cstdint>
#include <set>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace ibisnotch {

namespace {

constexpr int firstFinalStatus = 200;
constexpr int firstInvalidStatus = 600;
// No request asks for another protocol, and the bytes after this head would be of that protocol.
constexpr int statusSwitchingProtocols = 101;

bool isDigit(char c)
{
    return absl::ascii_isdigit(static_cast<unsigned char>(c));
}

bool isTokenCharacter(char c)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return absl::ascii_isalnum(static_cast<unsigned char>(c))
        || marks.find(c) != std::string_view::npos;
}

bool isValueCharacter(char c)
{
    return c == '\t' || !absl::ascii_iscntrl(static_cast<unsigned char>(c));
}

std::string trimmed(std::string_view text)
{
    const auto isBlank = [](char c) { return c == ' ' || c == '\t'; };
    while (!text.empty() && isBlank(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && isBlank(text.back()))
        text.remove_suffix(1);
    return std::string(text);
}

// Returns whether a status line stands somewhere in the text. A head that breaks off within a line
// takes the next response's status line into that line.
bool containsStatusLine(std::string_view text)
{
    constexpr std::string_view protocol = "HTTP/1.";
    for (std::size_t at = text.find(protocol); at != std::string_view::npos;
         at = text.find(protocol, at + 1)) {
        const std::string_view rest = text.substr(at + protocol.size());
        if (rest.size() >= 5 && isDigit(rest[0]) && rest[1] == ' '
            && std::all_of(rest.begin() + 2, rest.begin() + 5, isDigit))
            return true;
    }
    return false;
}

// A list of the same number several times counts as that number.
bool isLength(const std::string &text, std::set<std::int64_t> &lengths)
{
    for (const absl::string_view part : absl::StrSplit(text, ',')) {
        const std::string number = trimmed({part.data(), part.size()});
        std::int64_t length = 0;
        if (!std::all_of(number.begin(), number.end(), isDigit)
            || !absl::SimpleAtoi(number, &length))
            return false;
        lengths.insert(length);
    }
    return lengths.size() == 1;
}

bool hasValidLength(const Headers &headers)
{
    std::set<std::int64_t> lengths;
    return std::all_of(headers.fields().begin(), headers.fields().end(), [&](const auto &field) {
        return !absl::EqualsIgnoreCase(field.first, "Content-Length")
            || isLength(field.second, lengths);
    });
}

} // namespace

std::string_view headFaultName(HeadFault fault)
{
    switch (fault) {
    case HeadFault::none:
        return "none";
    case HeadFault::statusLine:
        return "status line";
    case HeadFault::status:
        return "status";
    case HeadFault::field:
        return "field";
    case HeadFault::length:
        return "length";
    }
    return "";
}

ResponseHead::Progress ResponseHead::addLine(std::string_view line)
{
    if (m_fault != HeadFault::none)
        return Progress::faulty;
    if (m_isComplete)
        return Progress::complete;
    if (line.ends_with('\n'))
        line.remove_suffix(1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (m_status == 0)
        m_fault = readStatusLine(line);
    else if (line.empty())
        return end();
    else
        m_fault = readField(line);
    return m_fault == HeadFault::none ? Progress::incomplete : Progress::faulty;
}

// "HTTP/1.1 200 OK". The reason may be missing, also with the space before it.
HeadFault ResponseHead::readStatusLine(std::string_view line)
{
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::size_t statusAt = protocol.size() + 2;
    constexpr std::size_t reasonAt = statusAt + 3;
    const bool hasForm = line.size() >= reasonAt && line.starts_with(protocol)
        && isDigit(line[protocol.size()]) && line[statusAt - 1] == ' '
        && (line.size() == reasonAt || line[reasonAt] == ' ')
        && !containsStatusLine(line.substr(reasonAt))
        && std::all_of(line.begin(), line.end(), isValueCharacter);
    const std::string_view digits = hasForm ? line.substr(statusAt, 3) : std::string_view();
    if (!hasForm || !std::all_of(digits.begin(), digits.end(), isDigit)
        || !absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()), &m_status))
        return HeadFault::statusLine;
    const bool isValid = m_status >= 100 && m_status < firstInvalidStatus;
    return isValid && m_status != statusSwitchingProtocols ? HeadFault::none : HeadFault::status;
}

// A folded line, which begins with a blank, has no valid name either.
HeadFault ResponseHead::readField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0)
        return HeadFault::field;
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = line.substr(colon + 1);
    if (!std::all_of(name.begin(), name.end(), isTokenCharacter)
        || !std::all_of(value.begin(), value.end(), isValueCharacter) || containsStatusLine(value))
        return HeadFault::field;
    m_fields.add(std::string(name), trimmed(value));
    return HeadFault::none;
}

ResponseHead::Progress ResponseHead::end()
{
    if (m_status < firstFinalStatus) {
        *this = {};
        return Progress::interim;
    }
    if (!hasValidLength(m_fields)) {
        m_fault = HeadFault::length;
        return Progress::faulty;
    }
    m_isComplete = true;
    return Progress::complete;
}

} // namespace ibisnotch
