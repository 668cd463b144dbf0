// Randomness as an argument, so that a test can fix it.
#pragma once

#include <cstdint>
#include <limits>
#include <mutex>
#include <random>

namespace ibisnotch {

class Random
{
public:
    explicit Random(std::uint64_t seed) : m_engine(seed) { }
    std::uint64_t next()
    {
        const std::lock_guard lock(m_mutex);
        return m_engine();
    }
    // From 0 to below 1.
    double uniform()
    {
        constexpr double scale = 1.0 / (1ULL << 53);
        return static_cast<double>(next() >> 11) * scale;
    }
    // From 0 to below limit, which must not be 0.
    std::uint64_t below(std::uint64_t limit) { return next() % limit; }

private:
    std::mutex m_mutex;
    std::mt19937_64 m_engine;
};

std::uint64_t randomSeed();

} // namespace ibisnotch
