#include "nutmegusher/node/stop_plan.hpp"

#include <algorithm>

namespace nutmegusher::node
{

namespace
{

// The upstream still takes other daemons' calls for this fraction of the time
// in which connections are accepted, which shortens its absence during a
// restart; the rest of that time is for its calls in flight to finish.
constexpr int leave_delay_numerator = 3;
constexpr int leave_delay_denominator = 5;
// Within this time the other daemons learn that the upstream takes no more
// calls, and callers learn that the process stops.
constexpr duration leave_propagation_time = std::chrono::milliseconds(500);
// Time reserved at the end of the shutdown limit for writing the final answers
// of requests that are given up.
constexpr duration max_closing_time = std::chrono::milliseconds(1300);
constexpr int closing_divisor = 15;
// Requests are bounded from this fraction of the time to the giving up on, even
// if connections are accepted for longer.
constexpr int bounded_divisor = 2;

} // namespace

stop_plan make_stop_plan(
    const shutdown_settings& from, bool sub_calls_use_callers_listener)
{
    const auto closing_time =
        std::min(max_closing_time, from.limit / closing_divisor);
    stop_plan plan;
    auto& times = plan.times;
    times.give_up_after = from.limit - closing_time;
    // Leaves time for the steps that follow, such as the hand-over of
    // leadership.
    const auto latest_close = times.give_up_after - closing_time;
    times.leave_after = std::min(from.accept_for, latest_close) *
                        leave_delay_numerator / leave_delay_denominator;
    times.close_callers_after = std::min(
        std::max(from.accept_for, leave_propagation_time), latest_close);
    // Sub-calls that end in time are served as long as the upstream works.
    times.close_callers_deadline = sub_calls_use_callers_listener
                                       ? latest_close
                                       : times.close_callers_after;
    times.end_after = from.limit;
    times.session_close_timeout = closing_time;
    plan.bounded_after = std::min(
        times.close_callers_after, times.give_up_after / bounded_divisor);
    return plan;
}

} // namespace nutmegusher::node
