#include "nutmegusher/membership/membership.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{std::chrono::hours(1)};

TEST(opinion_schedule, asks_nobody_else_while_syncs_are_answered)
{
    opinion_schedule opinions;
    auto now = start;
    for (int sync = 0; sync < 100; ++sync)
    {
        opinions.asked(now);
        now += milliseconds(1050);
        EXPECT_GT(opinions.due(), now - milliseconds(1050));
        opinions.learned(now - milliseconds(150));
        EXPECT_GT(opinions.due(), now);
        EXPECT_FALSE(opinions.is_old(now));
    }
}

// The host that holds the sync goes silent right after an answer, and a change
// is accepted elsewhere in that moment.
TEST(opinion_schedule, asks_two_others_before_a_change_is_due)
{
    random_engine random(1);
    opinion_schedule opinions;
    opinions.learned(start - milliseconds(150));
    opinions.asked(start);
    const auto first = opinions.due();
    opinions.asked_other(first, random);
    const auto second = opinions.due();
    EXPECT_LT(second, start + milliseconds(1500));
}

TEST(opinion_schedule, a_start_asks_another_one_soon_but_not_at_once)
{
    opinion_schedule opinions;
    opinions.asked(start);
    EXPECT_EQ(opinions.due(), start + opinion_options().patience);
}

// All of control is gone for a minute.
TEST(opinion_schedule, asks_seldom_where_nobody_knows_more)
{
    random_engine random(1);
    opinion_schedule opinions;
    auto now = start;
    opinions.learned(now);
    int asked = 0;
    while (now < start + seconds(60))
    {
        now = std::max(now + milliseconds(1), opinions.due());
        opinions.asked_other(now, random);
        ++asked;
    }
    EXPECT_LT(asked, 60);
    opinions.learned(now);
    opinions.asked_other(now + seconds(2), random);
    EXPECT_LE(opinions.due(), now + seconds(2) + milliseconds(250));
}

} // namespace
} // namespace nutmegusher
