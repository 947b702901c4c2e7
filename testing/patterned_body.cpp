// XXH3 exposes the size of its state, needed for a member, only with this.
#define XXH_STATIC_LINKING_ONLY
#include "testing/patterned_body.hpp"

#include "nutmegusher/base/base.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace nutmegusher::test_support
{

namespace
{

constexpr std::size_t word_size = sizeof(std::uint64_t);
constexpr std::size_t chunk_size = 64 * 1024;

std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

void fill_pattern(
    std::string_view token, std::uint64_t offset, std::span<char> out)
{
    const std::uint64_t seed = stable_hash(token);
    std::uint64_t index = offset / word_size;
    while (!out.empty())
    {
        const std::uint64_t word = mix(seed ^ mix(index));
        const std::size_t size = std::min(word_size, out.size());
        std::memcpy(out.data(), &word, size);
        out = out.subspan(size);
        ++index;
    }
}

struct body_digest::state
{
    XXH3_state_t hash;
};

body_digest::body_digest()
    : state_(std::make_shared<state>())
{
    XXH3_64bits_reset(&state_->hash);
}

void body_digest::append(std::span<const char> bytes)
{
    XXH3_64bits_update(&state_->hash, bytes.data(), bytes.size());
}

std::uint64_t body_digest::value() const
{
    return XXH3_64bits_digest(&state_->hash);
}

std::uint64_t pattern_digest(std::string_view token, std::uint64_t size)
{
    body_digest digest;
    std::array<char, chunk_size> chunk{};
    for (std::uint64_t offset = 0; offset < size; offset += chunk_size)
    {
        const auto length = std::min<std::uint64_t>(chunk_size, size - offset);
        const std::span<char> part(chunk.data(), length);
        fill_pattern(token, offset, part);
        digest.append(part);
    }
    return digest.value();
}

} // namespace nutmegusher::test_support
