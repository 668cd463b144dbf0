// A bound on the nesting of JSON that others write.
#pragma once

#include <string_view>

namespace ibisnotch {

// No record of this project or its platforms nests deeper.
constexpr int maxJsonDepth = 64;

// Returns whether arrays and objects of the text are nested more than maxJsonDepth deep. Copying
// or writing such a value recurses as deep and can overflow the stack.
bool isNestedTooDeeply(std::string_view text);

} // namespace ibisnotch
