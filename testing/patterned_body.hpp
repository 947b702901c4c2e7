// Bodies generated from a token. A caller can check that an answer is complete
// and its own by digest, without storing the body.
#ifndef NUTMEGUSHER_TESTING_PATTERNED_BODY_HPP
#define NUTMEGUSHER_TESTING_PATTERNED_BODY_HPP

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace nutmegusher::test_support
{

// Writes the bytes [offset, offset + size of `out`) of the token's body.
// Requires: `offset` is a multiple of 8.
void fill_pattern(
    std::string_view token, std::uint64_t offset, std::span<char> out);

// Computes a 64-bit digest incrementally.
class body_digest
{
public:
    body_digest();

    void append(std::span<const char> bytes);
    [[nodiscard]] std::uint64_t value() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

// The digest of the first `size` bytes of the token's body.
[[nodiscard]] std::uint64_t
pattern_digest(std::string_view token, std::uint64_t size);

} // namespace nutmegusher::test_support

#endif
