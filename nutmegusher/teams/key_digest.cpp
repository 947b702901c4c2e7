#include "nutmegusher/teams/key_digest.hpp"

#include <openssl/evp.h>

#include <algorithm>

namespace nutmegusher
{

// If the library can't compute a digest the result matches no key.
key_digest key_digest::of(std::string_view key)
{
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> full{};
    unsigned length = 0;
    EVP_Digest(
        key.data(), key.size(), full.data(), &length, EVP_sha256(), nullptr);
    key_digest result;
    std::copy_n(full.begin(), size, result.bytes_.begin());
    return result;
}

std::optional<key_digest> key_digest::from_bytes(std::string_view bytes)
{
    if (bytes.size() != size)
    {
        return std::nullopt;
    }
    key_digest result;
    std::memcpy(result.bytes_.data(), bytes.data(), size);
    return result;
}

std::string key_digest::bytes() const
{
    return {bytes_.begin(), bytes_.end()};
}

} // namespace nutmegusher
