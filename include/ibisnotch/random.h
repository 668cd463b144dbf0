// A random number generator that is passed as an argument, so that tests can set its seed.
#pragma once

#include <cstdint>
#include <limits>
#include <mutex>
#include <random>

namespace ibisnotch {

// Thread safe.
class Random
{
public:
    explicit Random(std::uint64_t seed) : m_engine(seed) { }
    std::uint64_t next()
    {
        const std::lock_guard lock(m_mutex);
        return m_engine();
    }
    // Returns a number in [0, 1).
    double uniform()
    {
        constexpr double scale = 1.0 / (1ULL << 53);
        return static_cast<double>(next() >> 11) * scale;
    }
    // Returns a number in [0, limit). `limit` must not be 0.
    std::uint64_t below(std::uint64_t limit) { return next() % limit; }

private:
    std::mutex m_mutex;
    std::mt19937_64 m_engine;
};

// Returns a seed from the random device of the system.
std::uint64_t randomSeed();

} // namespace ibisnotch
