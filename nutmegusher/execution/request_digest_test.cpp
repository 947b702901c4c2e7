#include "nutmegusher/execution/execution.hpp"

#include <gtest/gtest.h>

#include <initializer_list>

namespace nutmegusher
{
namespace
{

std::uint64_t digest_of(
    std::string_view method,
    std::string_view path,
    std::initializer_list<std::string_view> chunks)
{
    request_digest digest(method, path);
    for (const auto chunk : chunks)
    {
        digest.update(chunk);
    }
    return digest.value();
}

TEST(request_digest, is_independent_of_body_chunking)
{
    EXPECT_EQ(
        digest_of("POST", "/pay", {"amount=", "10"}),
        digest_of("POST", "/pay", {"amount=10"}));
}

TEST(request_digest, depends_on_method_path_and_body)
{
    const auto one = digest_of("POST", "/pay", {"10"});
    EXPECT_NE(one, digest_of("PUT", "/pay", {"10"}));
    EXPECT_NE(one, digest_of("POST", "/pay/", {"10"}));
    EXPECT_NE(one, digest_of("POST", "/pay", {"11"}));
}

TEST(request_digest, keeps_the_parts_apart)
{
    EXPECT_NE(digest_of("PUT", "/a", {"b"}), digest_of("PUT", "/ab", {}));
    EXPECT_NE(digest_of("PU", "T/a", {}), digest_of("PUT", "/a", {}));
}

} // namespace
} // namespace nutmegusher
