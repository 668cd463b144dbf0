// Ports for tests that listen on loopback.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ibisnotch {

// Free at the time of the call; all different.
std::vector<std::uint16_t> freePorts(std::size_t count);

} // namespace ibisnotch
