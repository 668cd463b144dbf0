// Loopback ports for tests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ibisnotch {

// Returns distinct free ports. No other test program gets any of them while this one runs.
std::vector<std::uint16_t> freePorts(std::size_t count);

} // namespace ibisnotch
