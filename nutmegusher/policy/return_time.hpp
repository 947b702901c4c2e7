// When refused work may come back.
//
// Pattern of load: a surge is refused, and all of its callers return at the
// same moment; each return is a new surge, and the overload outlasts its
// cause. Without this the callers guess, and most guess "now".
//
// The wait is what the capacity left for the call's rank needs to take in all
// that were refused lately, and each caller gets its own moment in it.
#ifndef NUTMEGUSHER_POLICY_RETURN_TIME_HPP
#define NUTMEGUSHER_POLICY_RETURN_TIME_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/random.hpp"

namespace nutmegusher
{

// What is known of the pressure on one rank.
struct pressure
{
    // Calls that finish a second.
    double drain_per_second = 0;
    // Calls of better ranks that are let in a second.
    double better_per_second = 0;
    // Calls that wait in front of this one.
    double waiting = 0;
    // Calls of this rank refused of late, which will want to come back.
    double refused_lately = 0;
};

// No caller is sent away for less: a round trip to a client and back takes
// about this (8 ms one way in the larger of the two users' networks).
inline constexpr duration shortest_return = std::chrono::milliseconds(16);

// No caller is sent away for longer, whatever the backlog: pressure that
// passes is to be felt by callers within seconds.
inline constexpr duration longest_return = std::chrono::seconds(10);

// The mean wait until the backlog has drained.
[[nodiscard]] duration return_time(const pressure& now);

// One caller's own moment: uniform in [mean / 2, mean * 3 / 2].
[[nodiscard]] duration spread(duration mean, random_engine& engine);

} // namespace nutmegusher

#endif
