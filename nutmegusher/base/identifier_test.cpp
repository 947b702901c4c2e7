#include "nutmegusher/base/base.hpp"

#include <gtest/gtest.h>

#include <type_traits>

namespace nutmegusher
{
namespace
{

static_assert(!std::is_convertible_v<service_name, class_name>);
static_assert(!std::is_convertible_v<revision, incarnation>);

TEST(number, next_is_higher)
{
    EXPECT_GT(revision(7).next(), revision(7));
}

TEST(stable_hash, depends_on_bytes_and_seed)
{
    EXPECT_EQ(stable_hash("abc"), stable_hash("abc"));
    EXPECT_NE(stable_hash("abc"), stable_hash("abd"));
    EXPECT_NE(stable_hash("abc", 1), stable_hash("abc", 2));
}

} // namespace
} // namespace nutmegusher
