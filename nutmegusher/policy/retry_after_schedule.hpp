// Schedules when callers of refused calls may retry.
//
//     const duration wait = schedule.next(spare_calls_per_second, now);
//     answer.set_retry_after(jittered(wait, engine));
//
// Pattern of load: a surge is refused, and all of its callers retry at the same
// time; each wave of retries is a new surge, and the overload outlasts its
// cause. Callers that aren't given a time guess one, and most retry at once.
//
// Refused callers get consecutive retry slots, spaced by the rate at which
// there will be capacity for them: a caller that is refused later retries
// later, even after the surge itself, while its retries are still outstanding.
#ifndef NUTMEGUSHER_POLICY_RETRY_AFTER_SCHEDULE_HPP
#define NUTMEGUSHER_POLICY_RETRY_AFTER_SCHEDULE_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/random.hpp"

namespace nutmegusher
{

// Lower bound of the retry-after time: about one round trip to a client (8 ms
// one way in the larger of the two users' networks).
inline constexpr duration min_retry_after = std::chrono::milliseconds(16);

// Upper bound of the retry-after time for any backlog: recovery is promised
// within seconds, and the overload may end at any time.
inline constexpr duration max_retry_after = std::chrono::seconds(5);

// Retry slots of the refused callers of one rank or class.
class retry_after_schedule
{
public:
    // Assigns the next slot and returns the caller's retry-after time.
    // `capacity_per_second`: calls of this rank or class that can be admitted
    // per second. Most calls refused here were refused by another upstream as
    // well and have a slot there, which leaves half of the capacity to new
    // calls.
    duration next(double capacity_per_second, time_point now);

    // The retry-after time of a caller refused now, without assigning a slot.
    [[nodiscard]] duration wait(time_point now) const;

private:
    // The slot assigned last.
    time_point last_slot_;
};

// Adds jitter for one caller: uniform in [mean / 2, mean * 3 / 2].
[[nodiscard]] duration jittered(duration mean, random_engine& engine);

} // namespace nutmegusher

#endif
