#include "ibisnotch/hash.h"

#include <memory>
#include <random>

#include <fmt/format.h>
#include <xxhash.h>

#include "ibisnotch/random.h"

namespace ibisnotch {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string hash128Hex(std::string_view first, std::string_view second, std::string_view third)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                         &XXH3_freeState);
    XXH3_128bits_reset(state.get());
    for (const std::string_view part : {first, second, third}) {
        const std::string length = std::to_string(part.size()) + ":";
        XXH3_128bits_update(state.get(), length.data(), length.size());
        XXH3_128bits_update(state.get(), part.data(), part.size());
    }
    const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

std::uint64_t rendezvousWeight(std::string_view node, std::uint64_t key)
{
    return hash64(node, key);
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace ibisnotch
