// HTTP messages as plain values, independent of the HTTP libraries.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ibisnotch/clock.h"

namespace ibisnotch {

class Headers
{
public:
    Headers() = default;
    Headers(std::initializer_list<std::pair<std::string, std::string>> fields)
        : m_fields(fields) { }

    // Returns the first value of a field. Names are case insensitive.
    std::optional<std::string> get(std::string_view name) const;
    void add(std::string name, std::string value);
    const std::vector<std::pair<std::string, std::string>> &fields() const { return m_fields; }
    bool operator==(const Headers &) const = default;

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

// The immutable body of a request, shared between its copies. The received request, the forwarded
// request and each attempt need the same bytes as long as the request may be sent again, and copies
// of long prompts made up most of a busy instance's memory.
class Body
{
public:
    Body() = default;
    Body(std::string text) : m_text(std::make_shared<const std::string>(std::move(text))) { }
    Body(const char *text) : Body(std::string(text)) { }
    // Shares a text that another object owns; the pointer keeps that object alive.
    explicit Body(std::shared_ptr<const std::string> text) : m_text(std::move(text)) { }

    const std::string &text() const;
    std::size_t size() const { return text().size(); }
    bool empty() const { return text().empty(); }
    bool operator==(const Body &other) const { return text() == other.text(); }

private:
    std::shared_ptr<const std::string> m_text; // null if empty
};

struct HttpRequest
{
    std::string method;
    std::string path; // without the query
    std::string query; // without the question mark, still encoded
    Headers headers;
    Body body;
    // When its first and its last byte arrived, as far as the server can tell: they may not have
    // been read at once. Default if unknown.
    TimePoint beganAt{};
    TimePoint arrivedAt{};

    bool operator==(const HttpRequest &) const = default;
};

struct HttpResponse
{
    int status = 0;
    Headers headers;
    std::string body;

    bool operator==(const HttpResponse &) const = default;
};

// Returns the value of a name in a query such as "a=1&b=2", without percent-decoding it.
std::optional<std::string> queryValue(std::string_view query, std::string_view name);

} // namespace ibisnotch
