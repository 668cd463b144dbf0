// HTTP messages as plain values, independent of the libraries that carry them.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ibisnotch {

class Headers
{
public:
    Headers() = default;
    Headers(std::initializer_list<std::pair<std::string, std::string>> fields)
        : m_fields(fields) { }

    // The first value of a field; names compare without case.
    std::optional<std::string> get(std::string_view name) const;
    void add(std::string name, std::string value);
    const std::vector<std::pair<std::string, std::string>> &fields() const { return m_fields; }
    bool operator==(const Headers &) const = default;

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

struct HttpRequest
{
    std::string method;
    std::string path; // without the query
    std::string query; // without the question mark, still encoded
    Headers headers;
    std::string body;

    bool operator==(const HttpRequest &) const = default;
};

struct HttpResponse
{
    int status = 0;
    Headers headers;
    std::string body;

    bool operator==(const HttpResponse &) const = default;
};

// One value of a query such as "a=1&b=2", not decoded.
std::optional<std::string> queryValue(std::string_view query, std::string_view name);

} // namespace ibisnotch
