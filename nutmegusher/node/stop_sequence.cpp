#include "nutmegusher/node/stop_sequence.hpp"

#include <algorithm>

namespace nutmegusher::node
{

namespace
{

constexpr duration check_interval = std::chrono::milliseconds(20);

stop_step next(stop_step step)
{
    switch (step)
    {
    case stop_step::announced:
        return stop_step::leaving;
    case stop_step::leaving:
        return stop_step::finishing_calls;
    case stop_step::finishing_calls:
        return stop_step::closing_callers;
    case stop_step::closing_callers:
        return stop_step::closing_peers;
    case stop_step::closing_peers:
        return stop_step::ending_sessions;
    case stop_step::ending_sessions:
        return stop_step::closing_upstream;
    default:
        return stop_step::ended;
    }
}

} // namespace

std::string_view to_string(stop_step step)
{
    switch (step)
    {
    case stop_step::announced:
        return "announced";
    case stop_step::leaving:
        return "leaving";
    case stop_step::finishing_calls:
        return "finishing_calls";
    case stop_step::closing_callers:
        return "closing_callers";
    case stop_step::closing_peers:
        return "closing_peers";
    case stop_step::ending_sessions:
        return "ending_sessions";
    case stop_step::closing_upstream:
        return "closing_upstream";
    case stop_step::giving_up:
        return "giving_up";
    case stop_step::ended:
        break;
    }
    return "ended";
}

stop_sequence stop_sequence::begin(stop_times times, time_point now)
{
    return {times, now};
}

stop_sequence::stop_sequence(stop_times times, time_point now)
    : times_(times)
    , started_at_(now)
{
}

void stop_sequence::advance(time_point now, const open_counts& open)
{
    if (step_ == stop_step::ended)
    {
        return;
    }
    if (is_done(now, open))
    {
        step_ = next(step_);
        return;
    }
    const bool is_late = now - started_at_ >= times_.give_up_after;
    if (is_late && step_ != stop_step::giving_up)
    {
        step_ = stop_step::giving_up;
        has_given_up_ = true;
    }
}

time_point stop_sequence::next_check(time_point now) const
{
    const auto latest_check = std::max(now, started_at_ + times_.give_up_after);
    switch (step_)
    {
    case stop_step::announced:
        return std::clamp(started_at_ + times_.leave_after, now, latest_check);
    case stop_step::leaving:
        return std::clamp(
            started_at_ + times_.close_callers_after, now, latest_check);
    default:
        return now + check_interval;
    }
}

bool stop_sequence::is_done(time_point now, const open_counts& open)
{
    switch (step_)
    {
    case stop_step::announced:
        return now - started_at_ >= times_.leave_after;
    case stop_step::leaving:
        return now - started_at_ >= times_.close_callers_after;
    case stop_step::finishing_calls:
        return open.peer_calls + open.upstream_calls == 0 ||
               now - started_at_ >= times_.close_callers_deadline;
    case stop_step::closing_callers:
        return open.callers == 0;
    case stop_step::closing_peers:
        return are_peers_done(now, open);
    case stop_step::ending_sessions:
        return open.peer_sessions == 0 && open.peer_calls == 0;
    case stop_step::closing_upstream:
        return open.upstream == 0;
    case stop_step::giving_up:
        return open.is_empty() || now - started_at_ >= times_.end_after;
    case stop_step::ended:
        break;
    }
    return true;
}

// Idle sessions wait for their peers to confirm the end, up to a timeout, as a
// peer may be unresponsive.
bool stop_sequence::are_peers_done(time_point now, const open_counts& open)
{
    if (open.peer_calls > 0)
    {
        no_calls_since_ = time_point::max();
        return false;
    }
    no_calls_since_ = std::min(no_calls_since_, now);
    return open.peer_sessions == 0 ||
           now - no_calls_since_ >= times_.session_close_timeout;
}

} // namespace nutmegusher::node
