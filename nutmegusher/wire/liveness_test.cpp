#include "nutmegusher/wire/liveness.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::wire::internal
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using action = liveness::action;
using waiting = liveness::waiting;

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
action next(liveness& watched, waiting now)
{
    const auto span = watched.plan_tick(now);
    return watched.tick(span, now);
}

// Lets the ticks come until something is to be done; gives the time it took.
struct step
{
    action what;
    duration after;
};

step next_step(liveness& watched, waiting now)
{
    const bool suspect = watched.suspect();
    duration after{0};
    constexpr int more_ticks_than_needed = 100;
    for (int i = 0; i < more_ticks_than_needed; ++i)
    {
        const auto span = watched.plan_tick(now);
        const auto what = watched.tick(span, now);
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
    const auto asked = next_step(watched, waiting::an_answer);
    EXPECT_EQ(asked.what, action::send_ping);
    EXPECT_EQ(asked.after, milliseconds(500));
    EXPECT_FALSE(watched.suspect());
    const auto suspected = next_step(watched, waiting::an_answer);
    EXPECT_EQ(suspected.what, action::none);
    EXPECT_EQ(suspected.after, seconds(1));
    EXPECT_TRUE(watched.suspect());
    const auto over = next_step(watched, waiting::an_answer);
    EXPECT_EQ(over.what, action::give_up);
    EXPECT_EQ(over.after, seconds(2));
}

TEST(liveness, whatever_arrives_ends_the_suspicion_at_once)
{
    liveness watched(times());
    static_cast<void>(next_step(watched, waiting::an_answer));
    static_cast<void>(next_step(watched, waiting::an_answer));
    ASSERT_TRUE(watched.suspect());
    watched.received();
    EXPECT_FALSE(watched.suspect());
    EXPECT_EQ(next(watched, waiting::an_answer), action::none);
    EXPECT_EQ(next(watched, waiting::an_answer), action::send_ping);
}

TEST(liveness, a_busy_session_that_receives_is_never_asked)
{
    liveness watched(times());
    for (int i = 0; i < 100; ++i)
    {
        watched.received();
        EXPECT_EQ(next(watched, waiting::an_answer), action::none);
    }
}

TEST(liveness, an_idle_session_is_asked_seldom)
{
    liveness watched(times());
    EXPECT_EQ(watched.plan_tick(waiting::nothing), seconds(10));
    EXPECT_TRUE(watched.planned_late(waiting::an_answer));
    EXPECT_EQ(watched.tick(seconds(10), waiting::nothing), action::send_ping);
}

TEST(liveness, a_pause_of_this_process_is_no_silence_of_the_peer)
{
    liveness watched(times());
    static_cast<void>(next_step(watched, waiting::an_answer));
    static_cast<void>(next_step(watched, waiting::an_answer));
    ASSERT_TRUE(watched.suspect());
    static_cast<void>(watched.plan_tick(waiting::an_answer));
    EXPECT_EQ(watched.tick(seconds(60), waiting::an_answer), action::none);
}

TEST(liveness, where_an_answer_is_due_soon_silence_is_noticed_early)
{
    auto options = times();
    options.near_ping_interval = milliseconds(150);
    options.near_silence_limit = milliseconds(300);
    liveness watched(options);
    static_cast<void>(watched.plan_tick(waiting::an_answer));
    EXPECT_TRUE(watched.planned_late(waiting::a_near_answer));
    const auto asked = next_step(watched, waiting::a_near_answer);
    EXPECT_EQ(asked.what, action::send_ping);
    EXPECT_EQ(asked.after, milliseconds(150));
    const auto suspected = next_step(watched, waiting::a_near_answer);
    EXPECT_EQ(suspected.after, milliseconds(300));
    EXPECT_TRUE(watched.suspect());
    const auto over = next_step(watched, waiting::a_near_answer);
    EXPECT_EQ(over.what, action::give_up);
    EXPECT_EQ(suspected.after + over.after, seconds(3)) << "as without it";
}

} // namespace
} // namespace nutmegusher::wire::internal
