#include "nutmegusher/membership/membership.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{std::chrono::hours(1)};

TEST(hedge_schedule, sends_no_hedge_while_syncs_are_answered)
{
    hedge_schedule hedges;
    auto now = start;
    for (int sync = 0; sync < 100; ++sync)
    {
        hedges.request_sent(now);
        now += milliseconds(1050);
        EXPECT_GT(hedges.due(), now - milliseconds(1050));
        hedges.advance_current_at(now - milliseconds(150));
        EXPECT_GT(hedges.due(), now);
        EXPECT_FALSE(hedges.is_stale(now));
    }
}

// The control host stops replying right after a reply, and another one accepts
// a change at that moment. Both hedges must be sent in time for the change.
TEST(hedge_schedule, sends_two_hedges_before_a_change_is_due)
{
    random_engine random(1);
    hedge_schedule hedges;
    hedges.advance_current_at(start - milliseconds(150));
    hedges.request_sent(start);
    const auto first = hedges.due();
    hedges.hedge_sent(first, random);
    const auto second = hedges.due();
    EXPECT_LT(second, start + milliseconds(1500));
}

TEST(hedge_schedule, waits_for_the_first_reply_after_a_start)
{
    hedge_schedule hedges;
    hedges.request_sent(start);
    EXPECT_EQ(hedges.due(), start + hedge_options().reply_wait);
}

// All control hosts are unavailable for a minute.
TEST(hedge_schedule, backs_off_while_nobody_knows_more)
{
    random_engine random(1);
    hedge_schedule hedges;
    auto now = start;
    hedges.advance_current_at(now);
    int hedge_count = 0;
    while (now < start + seconds(60))
    {
        now = std::max(now + milliseconds(1), hedges.due());
        hedges.hedge_sent(now, random);
        ++hedge_count;
    }
    EXPECT_LT(hedge_count, 60);
    hedges.advance_current_at(now);
    hedges.hedge_sent(now + seconds(2), random);
    EXPECT_LE(hedges.due(), now + seconds(2) + milliseconds(250));
}

} // namespace
} // namespace nutmegusher
