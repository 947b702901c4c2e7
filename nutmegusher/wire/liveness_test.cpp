#include "nutmegusher/wire/liveness.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::wire::internal
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using action = liveness::action;
using awaited_response = liveness::awaited_response;

session_options test_options()
{
    session_options options;
    options.ping_interval = milliseconds(500);
    options.idle_ping_interval = seconds(10);
    options.silence_timeout = seconds(1);
    options.give_up_timeout = seconds(2);
    return options;
}

// Schedules a tick and runs it on time.
action run_next_tick(liveness& monitor, awaited_response awaited)
{
    const auto span = monitor.schedule_tick(awaited);
    return monitor.tick(span, awaited);
}

// The result of ticks that ran until an action was requested or the suspicion
// changed, and the time until then.
struct tick_result
{
    action requested;
    duration after;
};

tick_result run_until_change(liveness& monitor, awaited_response awaited)
{
    const bool suspect = monitor.suspect();
    duration after{0};
    constexpr int max_ticks = 100;
    for (int i = 0; i < max_ticks; ++i)
    {
        const auto span = monitor.schedule_tick(awaited);
        const auto requested = monitor.tick(span, awaited);
        after += span;
        if (requested != action::none || monitor.suspect() != suspect)
        {
            return {requested, after};
        }
    }
    return {action::none, after};
}

TEST(liveness, a_silent_peer_is_pinged_then_suspected_then_given_up)
{
    liveness monitor(test_options());
    const auto asked = run_until_change(monitor, awaited_response::pending);
    EXPECT_EQ(asked.requested, action::send_ping);
    EXPECT_EQ(asked.after, milliseconds(500));
    EXPECT_FALSE(monitor.suspect());
    const auto suspected = run_until_change(monitor, awaited_response::pending);
    EXPECT_EQ(suspected.requested, action::none);
    EXPECT_EQ(suspected.after, seconds(1));
    EXPECT_TRUE(monitor.suspect());
    const auto given_up = run_until_change(monitor, awaited_response::pending);
    EXPECT_EQ(given_up.requested, action::give_up);
    EXPECT_EQ(given_up.after, seconds(2));
}

TEST(liveness, any_received_data_clears_suspicion_at_once)
{
    liveness monitor(test_options());
    static_cast<void>(run_until_change(monitor, awaited_response::pending));
    static_cast<void>(run_until_change(monitor, awaited_response::pending));
    ASSERT_TRUE(monitor.suspect());
    monitor.received();
    EXPECT_FALSE(monitor.suspect());
    EXPECT_EQ(run_next_tick(monitor, awaited_response::pending), action::none);
    EXPECT_EQ(
        run_next_tick(monitor, awaited_response::pending), action::send_ping);
}

TEST(liveness, a_session_that_receives_data_is_never_pinged)
{
    liveness monitor(test_options());
    for (int i = 0; i < 100; ++i)
    {
        monitor.received();
        EXPECT_EQ(
            run_next_tick(monitor, awaited_response::pending), action::none);
    }
}

TEST(liveness, an_idle_session_is_pinged_rarely)
{
    liveness monitor(test_options());
    EXPECT_EQ(monitor.schedule_tick(awaited_response::none), seconds(10));
    EXPECT_TRUE(monitor.is_tick_too_late(awaited_response::pending));
    EXPECT_EQ(
        monitor.tick(seconds(10), awaited_response::none), action::send_ping);
}

TEST(liveness, a_pause_of_this_process_is_no_silence_of_the_peer)
{
    liveness monitor(test_options());
    static_cast<void>(run_until_change(monitor, awaited_response::pending));
    static_cast<void>(run_until_change(monitor, awaited_response::pending));
    ASSERT_TRUE(monitor.suspect());
    static_cast<void>(monitor.schedule_tick(awaited_response::pending));
    EXPECT_EQ(
        monitor.tick(seconds(60), awaited_response::pending), action::none);
}

TEST(liveness, silence_is_detected_early_while_an_answer_is_due_soon)
{
    auto options = test_options();
    options.urgent_ping_interval = milliseconds(150);
    options.urgent_silence_timeout = milliseconds(300);
    liveness monitor(options);
    static_cast<void>(monitor.schedule_tick(awaited_response::pending));
    EXPECT_TRUE(monitor.is_tick_too_late(awaited_response::due_soon));
    const auto asked = run_until_change(monitor, awaited_response::due_soon);
    EXPECT_EQ(asked.requested, action::send_ping);
    EXPECT_EQ(asked.after, milliseconds(150));
    const auto suspected =
        run_until_change(monitor, awaited_response::due_soon);
    EXPECT_EQ(suspected.after, milliseconds(300));
    EXPECT_TRUE(monitor.suspect());
    const auto given_up = run_until_change(monitor, awaited_response::due_soon);
    EXPECT_EQ(given_up.requested, action::give_up);
    EXPECT_EQ(suspected.after + given_up.after, seconds(3))
        << "the urgent limits changed the total";
}

} // namespace
} // namespace nutmegusher::wire::internal
