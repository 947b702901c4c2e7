// The order in which a process ends, and when each step may follow.
//
// A step first closes where work comes from, and is left only once nothing of
// that kind is open or owed any more. What is closed stays closed, so a count
// of zero that was taken after the closing holds until the end: no request can
// come between the last look and the end of the process.
//
//     auto stop = stop_sequence::begin(times, now);
//     while (stop.step() != stop_step::ended)
//     {
//         enter(stop.step());                  // closes the step's sources
//         stop.advance(clock.now(), count());  // counted after that
//     }
//
// It reads no clock and opens nothing.
#ifndef NUTMEGUSHER_NODE_STOP_SEQUENCE_HPP
#define NUTMEGUSHER_NODE_STOP_SEQUENCE_HPP

#include "nutmegusher/base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace nutmegusher::node
{

enum class stop_step : std::uint8_t
{
    // Everything is served; callers' connections close after their answers.
    announced,
    // The upstream takes no new calls of other daemons.
    leaving,
    // Callers are refused. Calls that the upstream works on may still bring
    // sub-calls, which come in like callers' requests.
    finishing_calls,
    // No caller or operator brings a further request; each is answered.
    closing_callers,
    // Daemons are told to bring no further call; each is answered.
    closing_peers,
    // Sessions of daemons that haven't confirmed that are ended: what these
    // still send isn't read, and they are told so.
    ending_sessions,
    // The own upstream brings no further request; each is answered.
    closing_upstream,
    // The limit has come: everything is closed, and what is still owed is
    // answered at once.
    giving_up,
    ended
};

[[nodiscard]] std::string_view to_string(stop_step step);

// From the beginning of the stop; each is at least the one before.
struct stop_times
{
    duration leave_after{0};
    duration close_callers_after{0};
    // Ends `finishing_calls`.
    duration close_callers_deadline{0};
    duration give_up_after{0};
    duration end_after{0};
    // How long an idle session may take to confirm its end before
    // `ending_sessions`.
    duration session_close_timeout{0};
};

// What is open or owed, over all threads.
struct open_counts
{
    // Connections of callers, operators and collectors of metrics.
    std::size_t callers = 0;
    // Calls of other daemons that are in work.
    std::size_t peer_calls = 0;
    // Calls that the own upstream works on, whoever made them.
    std::size_t upstream_calls = 0;
    // Sessions of other daemons.
    std::size_t peer_sessions = 0;
    // Connections of the own upstream.
    std::size_t upstream = 0;

    [[nodiscard]] bool is_empty() const
    {
        return callers + peer_calls + peer_sessions + upstream == 0;
    }
};

class stop_sequence
{
public:
    [[nodiscard]] static stop_sequence begin(stop_times times, time_point now);

    [[nodiscard]] stop_step step() const
    {
        return step_;
    }

    // Leaves the step where it is done, for the next one only.
    // Requires: the step's sources were closed before `now`, and `open` was
    // counted after that.
    void advance(time_point now, const open_counts& open);

    // When to count again.
    [[nodiscard]] time_point next_check(time_point now) const;

    // Something that was owed is given up at the limit.
    [[nodiscard]] bool has_given_up() const
    {
        return has_given_up_;
    }

private:
    stop_sequence(stop_times times, time_point now);

    [[nodiscard]] bool is_done(time_point now, const open_counts& open);
    [[nodiscard]] bool are_peers_done(time_point now, const open_counts& open);

    stop_times times_;
    time_point started_at_;
    stop_step step_ = stop_step::announced;
    bool has_given_up_ = false;
    // Since when no call of other daemons is in work, in `closing_peers`.
    time_point no_calls_since_ = time_point::max();
};

} // namespace nutmegusher::node

#endif
