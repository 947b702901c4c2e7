// How much of the least important work a service wants its callers' entries to
// turn away.
//
//     shed_control control;
//     control.on_arrival(expected_hold, now);      // each call, also a refused
//     one control.update(slots, backlog_seconds, now); // after each change
//     answer.tell(control.level());
//
// Pattern of load: a deep service gets more calls than it has slots for. Its
// callers have been let in by services above it, hold slots there while they
// wait, and are thrown away when their call is refused: all services above are
// full of work that will fail. Only the entry can turn a request away for
// nothing, and it doesn't know what lies three services further down.
//
// The level rises while more slot time is asked for than there is, and falls
// while there is room. It travels back on every answer. One unit is all work
// of the lowest rank, the next unit that of the rank above it, and so on; so
// all entries turn away the same share, of the same rank.
#ifndef NUTMEGUSHER_POLICY_SHED_CONTROL_HPP
#define NUTMEGUSHER_POLICY_SHED_CONTROL_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstddef>

namespace nutmegusher
{

class shed_control
{
public:
    // A call came that will hold a slot for `slot_time`, if it is let in.
    void on_arrival(duration slot_time, time_point now);

    // `backlog`: the slot time that the waiting calls will need.
    void update(std::size_t slots, duration backlog, time_point now);

    [[nodiscard]] double level() const
    {
        return level_;
    }

    // Slot time asked for over slot time there is, lately.
    [[nodiscard]] double demand() const
    {
        return demand_;
    }

    // Ranks that may be turned away whole; a fourth one would leave nothing.
    static constexpr double max_level = 3;

private:
    void decay(time_point now);
    // Units a second and unit of excess, for the lasting part.
    [[nodiscard]] double integral_gain(double excess) const;

    // Slot seconds asked for a second, as a moving mean.
    double rate_ = 0;
    time_point rate_at_;
    time_point updated_at_;
    double demand_ = 0;
    // The part of the level that follows the sum of all excess.
    double integral_ = 0;
    double level_ = 0;
};

} // namespace nutmegusher

#endif
