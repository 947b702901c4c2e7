#include "nutmegusher/wire/liveness.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::wire::internal
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using action = liveness::action;

session_options times()
{
    session_options options;
    options.ping_interval = milliseconds(500);
    options.idle_ping_interval = seconds(10);
    options.silence_limit = seconds(1);
    options.give_up_limit = seconds(2);
    return options;
}

// Plans a tick and lets it come on time.
action next(liveness& watched, bool busy)
{
    const auto span = watched.plan_tick(busy);
    return watched.tick(span, busy);
}

// Lets the ticks come until something is to be done; gives the time it took.
struct step
{
    action what;
    duration after;
};

step next_step(liveness& watched, bool busy)
{
    const bool suspect = watched.suspect();
    duration after{0};
    constexpr int more_ticks_than_needed = 100;
    for (int i = 0; i < more_ticks_than_needed; ++i)
    {
        const auto span = watched.plan_tick(busy);
        const auto what = watched.tick(span, busy);
        after += span;
        if (what != action::none || watched.suspect() != suspect)
        {
            return {what, after};
        }
    }
    return {action::none, after};
}

TEST(liveness, a_quiet_peer_is_asked_then_suspected_then_given_up)
{
    liveness watched(times());
    const auto asked = next_step(watched, true);
    EXPECT_EQ(asked.what, action::send_ping);
    EXPECT_EQ(asked.after, milliseconds(500));
    EXPECT_FALSE(watched.suspect());
    const auto suspected = next_step(watched, true);
    EXPECT_EQ(suspected.what, action::none);
    EXPECT_EQ(suspected.after, seconds(1));
    EXPECT_TRUE(watched.suspect());
    const auto over = next_step(watched, true);
    EXPECT_EQ(over.what, action::give_up);
    EXPECT_EQ(over.after, seconds(2));
}

TEST(liveness, whatever_arrives_ends_the_suspicion_at_once)
{
    liveness watched(times());
    static_cast<void>(next_step(watched, true));
    static_cast<void>(next_step(watched, true));
    ASSERT_TRUE(watched.suspect());
    watched.received();
    EXPECT_FALSE(watched.suspect());
    EXPECT_EQ(next(watched, true), action::none);
    EXPECT_EQ(next(watched, true), action::send_ping);
}

TEST(liveness, a_busy_session_that_receives_is_never_asked)
{
    liveness watched(times());
    for (int i = 0; i < 100; ++i)
    {
        watched.received();
        EXPECT_EQ(next(watched, true), action::none);
    }
}

TEST(liveness, an_idle_session_is_asked_seldom)
{
    liveness watched(times());
    EXPECT_EQ(watched.plan_tick(false), seconds(10));
    EXPECT_TRUE(watched.planned_for_idle());
    EXPECT_EQ(watched.tick(seconds(10), false), action::send_ping);
}

TEST(liveness, a_pause_of_this_process_is_no_silence_of_the_peer)
{
    liveness watched(times());
    static_cast<void>(next_step(watched, true));
    static_cast<void>(next_step(watched, true));
    ASSERT_TRUE(watched.suspect());
    static_cast<void>(watched.plan_tick(true));
    EXPECT_EQ(watched.tick(seconds(60), true), action::none);
}

} // namespace
} // namespace nutmegusher::wire::internal
