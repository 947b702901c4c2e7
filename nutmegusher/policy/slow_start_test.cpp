#include "nutmegusher/policy/slow_start.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

using namespace std::chrono_literals;

class slow_start_test : public ::testing::Test
{
protected:
    static constexpr int first = static_cast<int>(slow_start::initial_window);

    // Offers `waiting` requests of the rank; returns how many are admitted.
    int admit_waiting(std::uint8_t rank, int waiting)
    {
        int in = 0;
        for (int i = 0; i < waiting; ++i)
        {
            start_window.wait(rank);
            in += start_window.enter(rank, now) ? 1 : 0;
            start_window.leave(rank);
        }
        return in;
    }

    time_point now{std::chrono::hours(1)};
    slow_start start_window{now};
};

TEST_F(slow_start_test, begins_small_and_doubles_with_each_round_of_answers)
{
    int in = admit_waiting(2, 100);
    EXPECT_EQ(in, first);
    for (const int next : {2 * first, 4 * first, 8 * first})
    {
        now += 200ms;
        for (int i = 0; i < in; ++i)
        {
            start_window.on_answer(0, now);
        }
        in = admit_waiting(2, 1000);
        EXPECT_EQ(in, next);
    }
}

TEST_F(slow_start_test, a_high_level_shrinks_the_window)
{
    admit_waiting(2, first);
    for (int i = 0; i < first; ++i)
    {
        start_window.on_answer(0, now);
    }
    EXPECT_EQ(admit_waiting(2, 100), 2 * first);
    for (int i = 0; i < 2 * first; ++i)
    {
        start_window.on_answer(0.8, now);
    }
    EXPECT_EQ(admit_waiting(2, 100), first);
}

TEST_F(slow_start_test, the_better_rank_goes_first)
{
    for (int i = 0; i < 3; ++i)
    {
        start_window.wait(0);
    }
    EXPECT_EQ(admit_waiting(2, 100), first - 3);
    for (int i = 0; i < 3; ++i)
    {
        EXPECT_TRUE(start_window.enter(0, now));
        start_window.leave(0);
    }
}

TEST_F(slow_start_test, is_over_when_it_holds_nothing_back)
{
    EXPECT_EQ(admit_waiting(2, 2), 2);
    EXPECT_FALSE(start_window.is_over(now));
    now += 1100ms;
    EXPECT_TRUE(start_window.is_over(now));
    EXPECT_EQ(admit_waiting(2, 100), 100);
}

TEST_F(slow_start_test, is_over_after_its_maximum_duration)
{
    for (int i = 0; i < 90; ++i)
    {
        admit_waiting(2, 100);
        now += 100ms;
    }
    EXPECT_TRUE(start_window.is_over(now));
}

} // namespace
} // namespace nutmegusher
