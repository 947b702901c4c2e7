#include "nutmegusher/policy/shed_control.hpp"

#include <algorithm>
#include <cmath>

namespace nutmegusher
{

namespace
{

// The window of the demand: tens of calls at a service of the users' smallest
// kind (three upstreams, 300 calls a second), and well below the second or so
// in which a change of the level shows at the deep service.
constexpr double window_seconds = 0.3;
// A backlog is to be gone after this. Callers that wait make no further calls:
// a service full of them shows in its backlog more than in its arrivals.
constexpr double drain_seconds = 0.2;
// A full service has a short queue always: slots that wait for the next call
// are lost for good, while the wait is bounded by the level. Beyond 1 it stands
// for a backlog of a twentieth of `drain_seconds`, 10 ms for each call: at
// 0.92, 37 in 100 requests of an overloaded day were not served, 34 at 1.05.
// At 1.1 calls wait more than one hold time in a burst of twice the slots;
// at 1.3 a chain of four waits so long that 8 in 100 requests of the first rank
// with a limit of 0.8 s fail, in place of 5.
constexpr double target_demand = 1.05;
// Units at once for each unit of excess demand: at an overload of twice the
// slots it takes about this much of the lowest rank to bring demand back.
constexpr double proportional_gain = 0.6;
// A change of the level shows at a deep service after about this long, the time
// of a request in work; what was changed at once becomes lasting in it.
constexpr double feedback_delay_seconds = 1.0;
constexpr double max_excess = 1.5;
// What is in work already goes on for seconds when all of a rank is turned
// away; a level that rose on meanwhile left the service with a quarter of its
// load for eight seconds after a mass restart.
constexpr double rise_factor_above_one = 0.2;
// Room that stays unused is lost for good, while a level that falls too far is
// corrected at once by the step.
constexpr double fall_factor = 2.0;
// Between two updates that are further apart nothing is known.
constexpr double max_step_seconds = 0.25;

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double shed_control::integral_gain(double excess) const
{
    const double base = proportional_gain / feedback_delay_seconds;
    if (excess <= 0)
    {
        return base * fall_factor;
    }
    return level_ >= 1 ? base * rise_factor_above_one : base;
}

void shed_control::decay(time_point now)
{
    const double elapsed = seconds_of(now - rate_at_);
    if (elapsed > 0)
    {
        rate_ *= std::exp(-elapsed / window_seconds);
        rate_at_ = now;
    }
}

void shed_control::on_arrival(duration slot_time, time_point now)
{
    decay(now);
    rate_ += seconds_of(slot_time) / window_seconds;
}

void shed_control::update(std::size_t slots, duration backlog, time_point now)
{
    const double step =
        std::min(seconds_of(now - updated_at_), max_step_seconds);
    updated_at_ = now;
    if (slots == 0 || step <= 0)
    {
        return;
    }
    decay(now);
    const double slot_time_rate = rate_ + seconds_of(backlog) / drain_seconds;
    demand_ = slot_time_rate / static_cast<double>(slots);
    const double excess =
        std::clamp(demand_ - target_demand, -target_demand, max_excess);
    integral_ = std::clamp(
        integral_ + integral_gain(excess) * excess * step, 0.0, max_level);
    level_ = std::clamp(integral_ + proportional_gain * excess, 0.0, max_level);
}

} // namespace nutmegusher
