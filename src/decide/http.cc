#include "ibisnotch/http.h"

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

namespace ibisnotch {

std::optional<std::string> Headers::get(std::string_view name) const
{
    for (const auto &[key, value] : m_fields) {
        if (absl::EqualsIgnoreCase(key, absl::string_view(name.data(), name.size())))
            return value;
    }
    return std::nullopt;
}

void Headers::add(std::string name, std::string value)
{
    m_fields.emplace_back(std::move(name), std::move(value));
}

const std::string &Body::text() const
{
    static const std::string none;
    return m_text ? *m_text : none;
}

std::optional<std::string> queryValue(std::string_view query, std::string_view name)
{
    const absl::string_view text(query.data(), query.size());
    for (const absl::string_view part : absl::StrSplit(text, '&')) {
        const std::pair<std::string, std::string> pair
            = absl::StrSplit(part, absl::MaxSplits('=', 1));
        if (pair.first == name)
            return pair.second;
    }
    return std::nullopt;
}

} // namespace ibisnotch
