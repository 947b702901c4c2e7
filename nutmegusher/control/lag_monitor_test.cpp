#include "nutmegusher/control/lag_monitor.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{std::chrono::hours(1)};

TEST(lag_monitor, does_not_report_a_short_lag)
{
    lag_monitor monitor;
    EXPECT_FALSE(monitor.update(true, start));
    EXPECT_FALSE(monitor.update(true, start + milliseconds(900)));
    EXPECT_FALSE(monitor.update(false, start + milliseconds(950)));
    EXPECT_FALSE(monitor.update(true, start + seconds(2)));
}

TEST(lag_monitor, reports_a_long_lag_periodically_and_its_end)
{
    lag_monitor monitor;
    int lines = 0;
    for (int second = 0; second < 25; ++second)
    {
        const auto report = monitor.update(true, start + seconds(second));
        lines += report ? 1 : 0;
    }
    EXPECT_EQ(lines, 3);
    const auto end = monitor.update(false, start + seconds(25));
    ASSERT_TRUE(end);
    EXPECT_EQ(end->state, lag_state::ended);
    EXPECT_EQ(end->length, seconds(25));
    EXPECT_FALSE(monitor.update(false, start + seconds(26)));
}

} // namespace
} // namespace nutmegusher
