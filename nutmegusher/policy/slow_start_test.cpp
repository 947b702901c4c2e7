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
    int let_in(std::uint8_t rank, int waiting)
    {
        int in = 0;
        for (int i = 0; i < waiting; ++i)
        {
            one.wait(rank);
            in += one.enter(rank, now) ? 1 : 0;
            one.leave(rank);
        }
        return in;
    }

    time_point now{std::chrono::hours(1)};
    slow_start one{now};
};

TEST_F(slow_start_test, begins_small_and_doubles_with_each_round_of_answers)
{
    int in = let_in(2, 100);
    EXPECT_EQ(in, first);
    for (const int next : {2 * first, 4 * first, 8 * first})
    {
        now += 200ms;
        for (int i = 0; i < in; ++i)
        {
            one.on_answer(0, now);
        }
        in = let_in(2, 1000);
        EXPECT_EQ(in, next);
    }
}

TEST_F(slow_start_test, a_high_level_shrinks_the_window)
{
    let_in(2, first);
    for (int i = 0; i < first; ++i)
    {
        one.on_answer(0, now);
    }
    EXPECT_EQ(let_in(2, 100), 2 * first);
    for (int i = 0; i < 2 * first; ++i)
    {
        one.on_answer(0.8, now);
    }
    EXPECT_EQ(let_in(2, 100), first);
}

TEST_F(slow_start_test, the_better_rank_goes_first)
{
    for (int i = 0; i < 3; ++i)
    {
        one.wait(0);
    }
    EXPECT_EQ(let_in(2, 100), first - 3);
    for (int i = 0; i < 3; ++i)
    {
        EXPECT_TRUE(one.enter(0, now));
        one.leave(0);
    }
}

TEST_F(slow_start_test, is_over_when_it_holds_nothing_back)
{
    EXPECT_EQ(let_in(2, 2), 2);
    EXPECT_FALSE(one.is_over(now));
    now += 1100ms;
    EXPECT_TRUE(one.is_over(now));
    EXPECT_EQ(let_in(2, 100), 100);
}

TEST_F(slow_start_test, is_over_after_its_longest_time_whatever_comes)
{
    for (int i = 0; i < 90; ++i)
    {
        let_in(2, 100);
        now += 100ms;
    }
    EXPECT_TRUE(one.is_over(now));
}

} // namespace
} // namespace nutmegusher
