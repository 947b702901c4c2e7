// Computes a service's shed level: how much of the least important work it asks
// the entries to refuse.
//
//     shed_control control;
//     control.on_arrival(expected_slot_time, now);  // also for a refused call
//     control.update(slots, backlog, now);          // after each change
//     answer.set_level(control.level());
//
// Pattern of load: a service deep in the call path gets more calls than it has
// slots for. Its callers were admitted by the services above it, hold slots
// there while they wait, and their work is wasted when the call is refused: all
// services above fill up with requests that will fail. Only an entry can refuse
// a request without wasted work, and it doesn't know the load three services
// further down.
//
// The level is the output of a proportional-integral controller: it rises while
// more slot time is demanded than available and falls while there is spare
// capacity. It is sent back with every answer. One unit stands for all work of
// the lowest rank, the next unit for that of the rank above it, and so on, so
// all entries shed the same share of the same rank.
#ifndef NUTMEGUSHER_POLICY_SHED_CONTROL_HPP
#define NUTMEGUSHER_POLICY_SHED_CONTROL_HPP

#include "nutmegusher/base/clock.hpp"

namespace nutmegusher
{

class shed_control
{
public:
    // Reports a new call that will hold a slot for `slot_time` if it is
    // admitted.
    void on_arrival(duration slot_time, time_point now);

    // Recomputes the level. `slots`: how many calls can occupy on average.
    // `backlog`: the total slot time that the waiting calls will need.
    void update(double slots, duration backlog, time_point now);

    [[nodiscard]] double level() const
    {
        return level_;
    }

    // Recent demand: slot time needed divided by slot time available.
    [[nodiscard]] double demand() const
    {
        return demand_;
    }

    // The number of ranks that may be shed completely; shedding a fourth would
    // leave no work.
    static constexpr double max_level = 3;

private:
    void decay(time_point now);
    void account_for_idle_time(time_point now);
    void integrate(double excess, double step);
    // The gain of the integral part, in level units per second and unit of
    // excess demand.
    [[nodiscard]] double integral_gain(double excess) const;

    // Slot time demanded by arrivals, in seconds per second; exponential moving
    // average.
    double rate_ = 0;
    time_point rate_at_;
    time_point updated_at_;
    // As of the last update.
    double slots_ = 0;
    double demand_ = 0;
    // The integral part of the level.
    double integral_ = 0;
    double level_ = 0;
};

} // namespace nutmegusher

#endif
