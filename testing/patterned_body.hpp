// Bytes that follow from a token, so that a caller can tell its own whole
// answer from a part of it and from anybody else's without keeping either.
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

// A 64-bit digest of bytes that come in pieces.
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
