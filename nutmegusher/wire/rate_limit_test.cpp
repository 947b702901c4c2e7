#include "nutmegusher/wire/rate_limit.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::wire::internal
{
namespace
{

TEST(rate_limit, takes_a_burst_of_one_second_and_no_more)
{
    rate_limit limit(100);
    const time_point now{std::chrono::hours(1)};
    for (int i = 0; i < 100; ++i)
    {
        EXPECT_TRUE(limit.take(now));
    }
    EXPECT_FALSE(limit.take(now));
}

TEST(rate_limit, fills_up_with_time)
{
    rate_limit limit(100);
    time_point now{std::chrono::hours(1)};
    for (int i = 0; i < 100; ++i)
    {
        static_cast<void>(limit.take(now));
    }
    now += std::chrono::milliseconds(50);
    for (int i = 0; i < 5; ++i)
    {
        EXPECT_TRUE(limit.take(now));
    }
    EXPECT_FALSE(limit.take(now));
}

} // namespace
} // namespace nutmegusher::wire::internal
