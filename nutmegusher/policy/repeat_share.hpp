// Measures which share of the calls that run at an upstream are repeats, or are
// made by repeated runs further up.
//
//     share.on_run(call.is_repeat, now);
//     sub_call.is_repeat = random < share.value(now);
//
// Pattern of load: a request that may have run is repeated, and each service
// below gets its calls again. The upstream's sub-calls don't name the run that
// makes them, so each is marked as a repeat with the probability of this share.
// The shares that daemons further down measure are then right in the mean.
#ifndef NUTMEGUSHER_POLICY_REPEAT_SHARE_HPP
#define NUTMEGUSHER_POLICY_REPEAT_SHARE_HPP

#include "nutmegusher/base/clock.hpp"

#include <algorithm>
#include <cmath>

namespace nutmegusher
{

class repeat_share
{
public:
    void on_run(bool is_repeat, time_point now)
    {
        const double kept = kept_share(now);
        runs_ = runs_ * kept + 1;
        repeats_ = repeats_ * kept + (is_repeat ? 1 : 0);
        at_ = now;
    }

    // In [0, 1]; 0 before the first run.
    [[nodiscard]] double value(time_point now) const
    {
        const double runs = runs_ * kept_share(now);
        return repeats_ * kept_share(now) / std::max(runs, min_runs);
    }

    // A run takes about a second, and its sub-calls follow within that time.
    static constexpr duration half_life = std::chrono::seconds(2);

    // Fewer runs than these count as this many: a single repeat at an idle
    // upstream says little about its next sub-calls.
    static constexpr double min_runs = 5;

private:
    [[nodiscard]] double kept_share(time_point now) const
    {
        using seconds = std::chrono::duration<double>;
        const double halvings = seconds(now - at_) / seconds(half_life);
        return std::exp2(-std::max(halvings, 0.0));
    }

    double runs_ = 0;
    double repeats_ = 0;
    time_point at_;
};

} // namespace nutmegusher

#endif
