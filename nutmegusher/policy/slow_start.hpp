// How many requests an entry that has just started lets in at once.
//
//     slow_start window(now);
//     window.wait(rank);                       // a request has come
//     if (window.enter(rank, now)) send();     // else ask again soon
//     window.leave(rank);                      // it waits no longer
//     window.on_answer(level, now);            // one that was let in has ended
//
// Pattern of load: power returns to all hosts at once. Upstreams are cold, no
// level is known anywhere, and all callers come back in the same second. All
// that is let in then makes its sub-calls at a service that is full for
// seconds: a call waits there a quarter of a second, four in a row exceed the
// time limit of the request, and what was done for it is lost.
//
// - Beginning small, the window grows by one with each answer that brings a low
//   level, so it doubles in the time of a request; a high level makes it
//   smaller. What doesn't fit waits where it holds nothing, the better rank
//   first.
// - It ends when it has not held anything back for a while, or after
// `max_duration`.
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

    // A request of the rank begins and ends to wait.
    void wait(std::uint8_t rank);
    void leave(std::uint8_t rank);

    // Whether a request of the rank is let in; counted as in work then.
    // Requires: it waits.
    [[nodiscard]] bool enter(std::uint8_t rank, time_point now);

    // One that was let in has ended; `level`: the highest level on its way.
    void on_answer(double level, time_point now);

    [[nodiscard]] bool is_over(time_point now) const;

    // For the state dump and tests.
    [[nodiscard]] double window() const
    {
        return window_;
    }

    // About three times what is in work at an entry of the users' sites on a
    // calm day, so that the start of a single daemon holds nothing back. Of 4,
    // 16 and no window at all the worst seconds of fifteen days, most of them
    // after a loss of all power, earned 0.41, 0.50 and 0.48 of their worth.
    static constexpr double initial_window = 16;
    // Nothing was held back for so long: the window has found its size.
    static constexpr duration quiet_time = std::chrono::seconds(1);
    // Levels are told all along; by then they do what the window is for.
    static constexpr duration max_duration = std::chrono::seconds(8);
    // Below this a service has room, above twice this it turns work away.
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
