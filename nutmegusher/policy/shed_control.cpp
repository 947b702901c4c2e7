#include "nutmegusher/policy/shed_control.hpp"

#include <algorithm>
#include <cmath>

namespace nutmegusher
{

namespace
{

// The time constant of the demand: it covers tens of calls at the users'
// smallest service (three upstreams, 300 calls a second), and is well below the
// second or so after which a change of the level shows at the deep service.
constexpr double window_seconds = 0.3;
// A backlog should drain within this time. It counts towards the demand because
// waiting callers make no further calls: a full service shows in its backlog
// more than in its arrivals.
constexpr double drain_seconds = 0.2;
// A fully used service should always have a short queue, here a backlog of a
// twentieth of `drain_seconds`, 10 ms per call: below 1, capacity of idle slots
// is lost for good. The higher the target, the longer each of a request's
// sequential calls waits, until even requests of the best rank fail.
constexpr double target_demand = 1.05;
// The proportional gain, in level units per unit of excess demand: at a load of
// twice the slots, about this much of the lowest rank has to be shed to bring
// demand back to the slots.
constexpr double proportional_gain = 0.6;
// A change of the level shows at a deep service after about this long, the
// duration of a request in flight. The integral part takes over the
// proportional one within this time.
constexpr double feedback_delay_seconds = 1.0;
constexpr double max_excess = 1.5;
// Slows the rise of the integral part once the lowest rank is shed completely:
// requests in flight continue for seconds. With the full gain, the level rose
// meanwhile, and after a mass restart the service ran at a quarter of its load
// for eight seconds.
constexpr double rise_factor_above_one = 0.2;
// Speeds up the fall of the integral part: unused capacity is lost for good,
// while the proportional part corrects a level that fell too far at once.
constexpr double fall_factor = 2.0;
// Below this demand the load has passed and a high level only keeps calls away,
// so the integral part falls faster the higher it is. Above it the faster fall
// would let the level oscillate.
constexpr double spare_demand = 0.85;
constexpr double spare_gain = 8.0;
// The backlog between two updates that are further apart is unknown; their step
// is cut to this length.
constexpr double max_step_seconds = 0.25;

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

double shed_control::integral_gain(double excess) const
{
    const double base = proportional_gain / feedback_delay_seconds;
    if (excess <= 0)
    {
        const bool has_spare = excess < spare_demand - target_demand;
        return base * fall_factor *
               (has_spare ? 1 + spare_gain * integral_ : 1);
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

// Pattern of failure: a high level keeps calls away, and the level falls only
// when a call arrives. The entries forget it after two seconds, try again with
// all their requests, and are told the old level.
//
// That no call arrived is known, so the level falls for this time as well; only
// the last step is left to `update`.
void shed_control::account_for_idle_time(time_point now)
{
    const auto step = from_seconds(max_step_seconds);
    while (now - updated_at_ > step && integral_ > 0)
    {
        updated_at_ += step;
        decay(updated_at_);
        const double demand = slots_ > 0 ? rate_ / slots_ : 0;
        const double excess = std::min(demand - target_demand, 0.0);
        integrate(excess, max_step_seconds);
    }
    updated_at_ = std::max(updated_at_, now - step);
}

void shed_control::integrate(double excess, double step)
{
    integral_ = std::clamp(
        integral_ + integral_gain(excess) * excess * step, 0.0, max_level);
    level_ = std::clamp(integral_ + proportional_gain * excess, 0.0, max_level);
}

void shed_control::on_arrival(duration slot_time, time_point now)
{
    account_for_idle_time(now);
    decay(now);
    rate_ += seconds_of(slot_time) / window_seconds;
}

void shed_control::update(double slots, duration backlog, time_point now)
{
    account_for_idle_time(now);
    const double step = seconds_of(now - updated_at_);
    updated_at_ = now;
    slots_ = slots;
    if (slots <= 0 || step <= 0)
    {
        return;
    }
    decay(now);
    const double slot_time_rate = rate_ + seconds_of(backlog) / drain_seconds;
    demand_ = slot_time_rate / slots;
    const double excess =
        std::clamp(demand_ - target_demand, -target_demand, max_excess);
    integrate(excess, step);
}

} // namespace nutmegusher
