// Random numbers. Callers pass the generator, so that tests and replays can
// seed it.
#ifndef NUTMEGUSHER_BASE_RANDOM_HPP
#define NUTMEGUSHER_BASE_RANDOM_HPP

#include <cstdint>
#include <random>

namespace nutmegusher
{

// The generator that randomised decisions take by reference.
using random_engine = std::mt19937_64;

// Uniform in [0, bound). Requires: `bound` isn't zero.
[[nodiscard]] inline std::uint64_t
uniform_below(random_engine& engine, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine);
}

// Uniform in [0, 1).
[[nodiscard]] inline double uniform_unit(random_engine& engine)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine);
}

} // namespace nutmegusher

#endif
