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
constexpr double wanted_demand = 1.05;
// Units at once for each unit of excess demand: at an overload of twice the
// slots it takes about this much of the lowest rank to bring demand back.
constexpr double step_share = 0.6;
// A change of the level shows at a deep service after about this long, the time
// of a request in work; what was changed at once becomes lasting in it.
constexpr double delay_seconds = 1.0;
constexpr double most_excess = 1.5;
// What is in work already goes on for seconds when all of a rank is turned
// away; a level that rose on meanwhile left the service with a quarter of its
// load for eight seconds after a mass restart.
constexpr double beyond_factor = 0.2;
// Room that stays unused is lost for good, while a level that falls too far is
// corrected at once by the step.
constexpr double fall_factor = 2.0;
// Between two updates that are further apart nothing is known.
constexpr double longest_step_seconds = 0.25;

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double shed_control::speed(double excess) const
{
    const double usual = step_share / delay_seconds;
    if (excess <= 0)
    {
        return usual * fall_factor;
    }
    return level_ >= 1 ? usual * beyond_factor : usual;
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

void shed_control::on_arrival(duration hold, time_point now)
{
    decay(now);
    rate_ += seconds_of(hold) / window_seconds;
}

void shed_control::update(std::size_t slots, duration backlog, time_point now)
{
    const double step =
        std::min(seconds_of(now - updated_at_), longest_step_seconds);
    updated_at_ = now;
    if (slots == 0 || step <= 0)
    {
        return;
    }
    decay(now);
    const double asked = rate_ + seconds_of(backlog) / drain_seconds;
    demand_ = asked / static_cast<double>(slots);
    const double excess =
        std::clamp(demand_ - wanted_demand, -wanted_demand, most_excess);
    lasting_ = std::clamp(
        lasting_ + speed(excess) * excess * step, 0.0, highest_level);
    level_ = std::clamp(lasting_ + step_share * excess, 0.0, highest_level);
}

} // namespace nutmegusher
