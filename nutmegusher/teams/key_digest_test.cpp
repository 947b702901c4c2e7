#include "nutmegusher/teams/key_digest.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

TEST(key_digest, is_the_beginning_of_sha_256)
{
    // FIPS 180-2, example of the message "abc".
    const std::string expected(
        "\xba\x78\x16\xbf\x8f\x01\xcf\xea\x41\x41\x40\xde\x5d\xae\x22\x23",
        key_digest::size);
    EXPECT_EQ(key_digest::of("abc").bytes(), expected);
}

TEST(key_digest, survives_its_encoding)
{
    const auto digest = key_digest::of("kmgjqnirth5m");
    EXPECT_EQ(key_digest::from_bytes(digest.bytes()), digest);
    EXPECT_NE(key_digest::of("kmgjqnirth5n"), digest);
}

TEST(key_digest, refuses_other_sizes)
{
    EXPECT_FALSE(key_digest::from_bytes(""));
    EXPECT_FALSE(key_digest::from_bytes(std::string(15, 'x')));
    EXPECT_FALSE(key_digest::from_bytes(std::string(17, 'x')));
}

} // namespace
} // namespace nutmegusher
