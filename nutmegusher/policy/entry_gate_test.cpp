#include "nutmegusher/policy/policy.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

class gate : public testing::Test
{
protected:
    gate()
    {
        call.work_class = 1;
        call.rank = 4;
    }

    // Offers `per_interval` requests in one interval, of which `capacity` can
    // be served; reports the resulting level. Returns how many the gate
    // admitted.
    int interval(int per_interval, int capacity, std::uint64_t customers = 50)
    {
        int passed = 0;
        for (int index = 0; index < per_interval; ++index)
        {
            call.request = engine();
            call.customer = uniform_below(engine, customers);
            const bool in = !under_test.check(call, clock.now()).has_value();
            passed += in ? 1 : 0;
            clock.advance(entry_gate::interval / per_interval);
        }
        const double share =
            passed > capacity ? capacity / static_cast<double>(passed) : 1.0;
        admission_level level;
        level.short_lane =
            level_for_threshold(share < 1.0 ? 4.0 + share : 10.0);
        under_test.on_level(call, level, clock.now());
        return passed;
    }

    manual_clock clock;
    random_engine engine{1};
    entry_gate under_test;
    call_info call;
};

TEST_F(gate, lets_everything_in_while_nothing_is_refused)
{
    EXPECT_EQ(interval(100, 100), 100);
    EXPECT_EQ(interval(100, 100), 100);
}

TEST_F(gate, lets_in_about_what_passes_below)
{
    for (int index = 0; index < 20; ++index)
    {
        interval(500, 100);
    }
    int passed = 0;
    for (int index = 0; index < 40; ++index)
    {
        passed += interval(500, 100);
    }
    EXPECT_GT(passed, 40 * 60);
    EXPECT_LT(passed, 40 * 200);
}

TEST_F(gate, reopens_within_a_second)
{
    for (int index = 0; index < 20; ++index)
    {
        interval(500, 5);
    }
    EXPECT_LT(under_test.open_share(1), 0.1);
    for (int index = 0; index < 10; ++index)
    {
        interval(100, 100);
    }
    EXPECT_DOUBLE_EQ(under_test.open_share(1), 1.0);
}

TEST_F(gate, a_heavy_customer_does_not_affect_the_others)
{
    for (int index = 0; index < 20; ++index)
    {
        interval(400, 100, 1);
    }
    call.customer = 77;
    call.request = ~std::uint64_t{0} / 2;
    EXPECT_FALSE(under_test.check(call, clock.now()).has_value());
}

TEST(sub_call_levels, drops_expired_levels)
{
    manual_clock clock;
    sub_call_levels levels;
    admission_level level;
    level.short_lane = {3, 100};
    levels.on_sub_call_level(1, level, clock.now());
    EXPECT_EQ(levels.deeper_for(1, clock.now()), level);
    EXPECT_EQ(levels.deeper_for(2, clock.now()), admission_level{});
    clock.advance(sub_call_levels::lifetime);
    EXPECT_EQ(levels.deeper_for(1, clock.now()), admission_level{});
}

TEST(retry_after_schedule, sends_later_callers_away_for_longer)
{
    manual_clock clock;
    retry_after_schedule returns;
    duration last{0};
    for (int index = 0; index < 100; ++index)
    {
        last = returns.next(100.0, clock.now());
    }
    EXPECT_NEAR(std::chrono::duration<double>(last).count(), 1.0, 0.05);
    clock.advance(std::chrono::seconds(2));
    EXPECT_EQ(returns.wait(clock.now()), min_retry_after);
}

} // namespace
} // namespace nutmegusher
