// Ports for tests that listen on loopback.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ibisnotch {

// All different, and not given to another test program while this one runs.
std::vector<std::uint16_t> freePorts(std::size_t count);

} // namespace ibisnotch
