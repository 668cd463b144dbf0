#include "ibisnotch/prompt.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <fmt/format.h>

namespace ibisnotch {

std::string loggablePartName(std::string_view given)
{
    constexpr std::size_t maxLength = 32;
    const bool isPlain = std::all_of(given.begin(), given.end(), [](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c));
    });
    return given.size() <= maxLength && isPlain ? std::string(given) : std::string();
}

std::string partText(const PromptPart &part)
{
    return part.name.empty() ? fmt::format("#{:016x}", part.hash) : part.name;
}

std::string sharedPartsText(const Prompt &prompt)
{
    std::string text;
    for (const PromptPart &part : prompt.sharedParts()) {
        if (!text.empty())
            text += ',';
        text += partText(part);
    }
    return text;
}

} // namespace ibisnotch
