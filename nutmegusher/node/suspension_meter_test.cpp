#include "nutmegusher/node/suspension_meter.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::node
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class suspension_meter_test : public ::testing::Test
{
protected:
    [[nodiscard]] duration since(time_point stamp)
    {
        return meter.since(stamp, host, uptime);
    }

    // Both clocks run for `running`, and only one while suspended.
    void pass(duration running, duration suspended = duration::zero())
    {
        host += running;
        uptime += running + suspended;
    }

    time_point host = host_clock().now();
    time_point uptime = uptime_clock().now();
    suspension_meter meter;
};

TEST_F(suspension_meter_test, counts_nothing_while_the_host_runs)
{
    const auto stamp = host;
    pass(seconds(10));
    EXPECT_EQ(since(stamp), duration::zero());
}

TEST_F(suspension_meter_test, counts_a_suspension_after_the_stamp)
{
    const auto stamp = host;
    pass(seconds(1), seconds(4));
    EXPECT_GE(since(stamp), seconds(4) - milliseconds(1));
    const auto later = host + milliseconds(1);
    pass(seconds(1));
    EXPECT_GE(since(stamp), seconds(4) - milliseconds(1));
    EXPECT_EQ(since(later), duration::zero());
}

TEST_F(suspension_meter_test, counts_several_suspensions)
{
    const auto stamp = host;
    for (int i = 0; i < 3; ++i)
    {
        pass(milliseconds(100), seconds(1));
        EXPECT_GE(since(stamp), seconds(i + 1) - milliseconds(1));
    }
}

} // namespace
} // namespace nutmegusher::node
