// The prompt of a request, as its caller describes it.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ibisnotch {

// A part of a prompt. Requests whose parts have the same hashes share them. The last part of a
// prompt is specific to its request.
struct PromptPart
{
    std::uint64_t hash = 0;
    std::int64_t tokens = 0;
    std::string name; // for the log; empty if the caller's isn't fit for it
    bool operator==(const PromptPart &) const = default;
};

struct Prompt
{
    std::vector<PromptPart> parts; // in the order in which a server reads them
    std::int64_t tokens = 0; // 0 if the request has no prompt or doesn't say
    std::int64_t maxAnswerTokens = 0; // 0 if unknown

    // Returns all parts but the last.
    std::span<const PromptPart> sharedParts() const
    {
        return std::span(parts).first(parts.empty() ? 0 : parts.size() - 1);
    }
    // Returns the tokens of all parts but the last.
    std::int64_t sharedTokens() const
    {
        std::int64_t shared = 0;
        for (const PromptPart &part : sharedParts())
            shared += part.tokens;
        return shared;
    }
    bool operator==(const Prompt &) const = default;
};

// Returns the name that the caller gave to a part if it has at most 32 letters and digits, else an
// empty text.
std::string loggablePartName(std::string_view given);

// Returns the name of a part, or its hash if it has none.
std::string partText(const PromptPart &part);
// Returns the same of all shared parts, separated by commas.
std::string sharedPartsText(const Prompt &prompt);

} // namespace ibisnotch
