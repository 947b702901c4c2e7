#include "nutmegusher/base/identifier.hpp"

#include <xxhash.h>

namespace nutmegusher
{

std::uint64_t stable_hash(std::string_view bytes)
{
    return stable_hash(bytes, 0);
}

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

} // namespace nutmegusher
