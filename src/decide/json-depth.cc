#include "ibisnotch/json-depth.h"

#include <cstddef>

namespace ibisnotch {

namespace {

// Returns the position of the quote that ends the string which begins at `start`, or the text's
// size.
std::size_t findStringEnd(std::string_view text, std::size_t start)
{
    std::size_t at = start + 1;
    while (at < text.size() && text[at] != '"')
        at += text[at] == '\\' ? 2 : 1;
    return at;
}

} // namespace

bool isNestedTooDeeply(std::string_view text)
{
    int depth = 0;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char c = text[at];
        if (c == '"')
            at = findStringEnd(text, at);
        else if (c == '[' || c == '{')
            ++depth;
        else if (c == ']' || c == '}')
            --depth;
        if (depth > maxJsonDepth)
            return true;
    }
    return false;
}

} // namespace ibisnotch
