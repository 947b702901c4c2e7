// Limits the number of concurrent requests at an entry that has just started.
//
//     slow_start window(now);
//     window.wait(rank);                       // a request has arrived
//     if (window.enter(rank, now)) send();     // else try again soon
//     window.leave(rank);                      // it no longer waits
//     window.on_answer(level, now);            // an admitted one has ended
//
// Pattern of load: power returns to all hosts at once. Upstreams are cold, no
// shed level is known anywhere, and all callers return in the same second.
// Without a window, all admitted requests make their sub-calls at a service
// that is full for seconds: a call waits there for a quarter of a second, four
// sequential calls exceed the request's time limit, and the work done for it is
// wasted.
//
// - The window starts small and grows by one with each answer that reports a
//   low level, so it doubles per request time; a high level shrinks it.
//   Requests that don't fit wait at the entry, where they hold no slots, better
//   ranks first.
// - The slow start ends when no request was held back for `quiet_time`, or
//   after `max_duration`.
#ifndef NUTMEGUSHER_POLICY_SLOW_START_HPP
#define NUTMEGUSHER_POLICY_SLOW_START_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/policy/call.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace nutmegusher
{

class slow_start
{
public:
    explicit slow_start(time_point now);

    // Report that a request of the rank starts and stops waiting.
    void wait(std::uint8_t rank);
    void leave(std::uint8_t rank);

    // Whether a request of the rank is admitted; it then counts as in flight.
    // Requires: it waits.
    [[nodiscard]] bool enter(std::uint8_t rank, time_point now);

    // Reports that an admitted request ended; `level`: the highest shed level
    // on its call path.
    void on_answer(double level, time_point now);

    [[nodiscard]] bool is_over(time_point now) const;

    // For the state dump and tests.
    [[nodiscard]] double window() const
    {
        return window_;
    }

    // About three times the requests in flight at an entry of the users' sites
    // on a calm day, so that the start of a single daemon holds nothing back.
    static constexpr double initial_window = 16;
    // If no request was held back for this long, the window is large enough.
    static constexpr duration quiet_time = std::chrono::seconds(1);
    // Shed levels arrive from the start on; by this time they limit the load
    // and the window isn't needed.
    static constexpr duration max_duration = std::chrono::seconds(8);
    // Below this shed level a service has spare capacity; above twice this it
    // sheds load.
    static constexpr double low_level = 0.1;

private:
    const time_point started_;
    time_point last_held_back_;
    double window_ = initial_window;
    std::size_t in_flight_ = 0;
    std::array<std::size_t, rank_count> waiting_{};
};

} // namespace nutmegusher

#endif
