// When refused work may come back.
//
//     const duration wait = returns.next(spare_per_second, now);
//     answer.retry_after(jittered(wait, engine));
//
// Pattern of load: a surge is refused, and all of its callers return at the
// same moment; each return is a new surge, and the overload outlasts its
// cause. Without this the callers guess, and most guess "now".
//
// Refused callers are given places in a line, one after the other as fast as
// there will be room for them: whoever is refused later comes back later, also
// when the surge itself is over and only the returns are still to come.
#ifndef NUTMEGUSHER_POLICY_RETRY_AFTER_SCHEDULE_HPP
#define NUTMEGUSHER_POLICY_RETRY_AFTER_SCHEDULE_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/random.hpp"

namespace nutmegusher
{

// No caller is sent away for less: a round trip to a client and back takes
// about this (8 ms one way in the larger of the two users' networks).
inline constexpr duration min_retry_after = std::chrono::milliseconds(16);

// No caller is sent away for longer, whatever the backlog: what was promised
// is counted in seconds, and pressure may pass at any moment.
inline constexpr duration max_retry_after = std::chrono::seconds(5);

// The line of refused callers of one rank or class.
class retry_after_schedule
{
public:
    // Gives the next caller its place: how long it should stay away.
    // `capacity_per_second`: calls of its kind that can be let in a second. A
    // call refused here was mostly refused by one other upstream too, and has a
    // place there: that leaves half of the room to those who come anew.
    duration next(double capacity_per_second, time_point now);

    // How long a caller refused now would be sent away.
    [[nodiscard]] duration wait(time_point now) const;

private:
    // The last place given.
    time_point last_slot_;
};

// One caller's own moment: uniform in [mean / 2, mean * 3 / 2].
[[nodiscard]] duration jittered(duration mean, random_engine& engine);

} // namespace nutmegusher

#endif
