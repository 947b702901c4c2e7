// The order of the steps of a graceful shutdown, and when each step may begin.
//
// On entering a step the process closes the step's sources of requests
// (listeners and connections). It leaves the step only when no connection of
// that kind is open and no answer is outstanding. Closed sources stay closed,
// so a count of zero taken after the closing stays zero: no request can arrive
// between the last check and the end of the process.
//
//     auto stop = stop_sequence::begin(times, now);
//     while (stop.step() != stop_step::ended)
//     {
//         enter_step(stop.step());             // closes the step's sources
//         stop.advance(clock.now(), count());  // counted after that
//     }
//
// The class reads no clock and does no I/O; the caller passes in time and
// counts.
#ifndef NUTMEGUSHER_NODE_STOP_SEQUENCE_HPP
#define NUTMEGUSHER_NODE_STOP_SEQUENCE_HPP

#include "nutmegusher/base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace nutmegusher::node
{

// The steps, in order.
enum class stop_step : std::uint8_t
{
    // All requests are served; each caller's connection closes after its next
    // answer.
    announced,
    // The upstream on this host leaves the routes of other daemons, which stop
    // sending it calls.
    leaving,
    // New requests of callers are refused. Calls that the upstream is serving
    // may still send sub-calls, which arrive on the callers' listener.
    finishing_calls,
    // No further request of a caller or operator is read; those already read
    // are answered.
    closing_callers,
    // Other daemons are told to send no further call; calls already received
    // are answered.
    closing_peers,
    // Sessions of daemons that haven't confirmed this are ended. What they
    // still send isn't read, and they are told so.
    ending_sessions,
    // No further request of the upstream on this host is read; those already
    // read are answered.
    closing_upstream,
    // The time limit has been reached: everything is closed, and outstanding
    // requests get their final answer at once.
    giving_up,
    ended
};

[[nodiscard]] std::string_view to_string(stop_step step);

// Times since the start of the shutdown.
// Requires: the times up to `end_after` don't decrease.
struct stop_times
{
    duration leave_after{0};
    duration close_callers_after{0};
    // Ends `finishing_calls`.
    duration close_callers_deadline{0};
    duration give_up_after{0};
    duration end_after{0};
    // How long peers with idle sessions have to confirm their end before
    // `ending_sessions`. A duration, not a time since the start.
    duration session_close_timeout{0};
};

// Open connections and outstanding calls, summed over all threads.
struct open_counts
{
    // Connections of callers, operators and collectors of metrics.
    std::size_t callers = 0;
    // Calls of other daemons in flight.
    std::size_t peer_calls = 0;
    // Calls that the upstream on this host is serving, of any caller.
    std::size_t upstream_calls = 0;
    // Sessions of other daemons.
    std::size_t peer_sessions = 0;
    // Connections of the upstream on this host.
    std::size_t upstream = 0;
    // Handlers of other processes' requests that run, also those whose session
    // is lost. No step waits for these: nobody receives their answer.
    std::size_t peer_handlers = 0;

    [[nodiscard]] bool is_empty() const
    {
        return callers + peer_calls + peer_sessions + upstream == 0;
    }
};

// State machine of the shutdown; see the head of this file.
class stop_sequence
{
public:
    [[nodiscard]] static stop_sequence begin(stop_times times, time_point now);

    [[nodiscard]] stop_step step() const
    {
        return step_;
    }

    // Moves on by one step if the current step is done, or to `giving_up` when
    // the time limit has been reached.
    // Requires: the step's sources were closed before `now`, and `open` was
    // counted after that.
    void advance(time_point now, const open_counts& open);

    // When to count open connections again.
    [[nodiscard]] time_point next_check(time_point now) const;

    // True if the time limit was reached before all requests were answered.
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
    // Since when no call of other daemons has been in flight, in
    // `closing_peers`.
    time_point no_calls_since_ = time_point::max();
};

} // namespace nutmegusher::node

#endif
