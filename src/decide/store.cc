#include "ibisnotch/store.h"

#include <fmt/format.h>

namespace ibisnotch {

std::string revisionText(std::uint64_t revision)
{
    if (eraOf(revision) == 0)
        return fmt::to_string(numberOf(revision));
    return fmt::format("{}.{}", eraOf(revision), numberOf(revision));
}

} // namespace ibisnotch
