// The form in which daemons know keys: enough to recognise one, not to use it.
//
//     const key_digest digest = key_digest::of("kmgjqnirth5m");
//     message.add_key_digests(digest.bytes());
#ifndef NUTMEGUSHER_TEAMS_KEY_DIGEST_HPP
#define NUTMEGUSHER_TEAMS_KEY_DIGEST_HPP

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegusher
{

// The first 128 bits of a key's SHA-256. Keys are random, so no salt is needed.
class key_digest
{
public:
    static constexpr std::size_t size = 16;

    [[nodiscard]] static key_digest of(std::string_view key);

    // Returns nullopt if `bytes` doesn't have the size of a digest.
    [[nodiscard]] static std::optional<key_digest>
    from_bytes(std::string_view bytes);

    [[nodiscard]] std::string bytes() const;

    friend auto operator<=>(const key_digest&, const key_digest&) = default;

    // A digest is uniformly distributed, so a part of it is a hash.
    struct hash
    {
        std::size_t operator()(const key_digest& value) const noexcept
        {
            std::size_t result = 0;
            std::memcpy(&result, value.bytes_.data(), sizeof(result));
            return result;
        }
    };

private:
    std::array<std::uint8_t, size> bytes_{};
};

} // namespace nutmegusher

#endif
