#include "nutmegusher/control/lag_watch.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{std::chrono::hours(1)};

TEST(lag_watch, keeps_quiet_about_a_short_lag)
{
    lag_watch watch;
    EXPECT_FALSE(watch.update(true, start));
    EXPECT_FALSE(watch.update(true, start + milliseconds(900)));
    EXPECT_FALSE(watch.update(false, start + milliseconds(950)));
    EXPECT_FALSE(watch.update(true, start + seconds(2)));
}

TEST(lag_watch, tells_of_a_long_lag_now_and_then_and_of_its_end)
{
    lag_watch watch;
    int lines = 0;
    for (int second = 0; second < 25; ++second)
    {
        const auto report = watch.update(true, start + seconds(second));
        lines += report ? 1 : 0;
    }
    EXPECT_EQ(lines, 3);
    const auto end = watch.update(false, start + seconds(25));
    ASSERT_TRUE(end);
    EXPECT_EQ(end->state, lag_state::ended);
    EXPECT_EQ(end->length, seconds(25));
    EXPECT_FALSE(watch.update(false, start + seconds(26)));
}

} // namespace
} // namespace nutmegusher
