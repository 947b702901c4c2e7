#include "nutmegusher/policy/rejection_control.hpp"

#include <algorithm>
#include <cmath>

namespace nutmegusher
{

namespace
{

// Covers tens of calls at a daemon that makes a hundred a second.
constexpr double window_seconds = 0.3;
constexpr double min_arrivals = 5;
// One repeat in ten may be denied: fewer would leave allowed ones unused.
constexpr double fall_by_denied = 0.98;
constexpr double rise_by_allowed = 1.0022;
constexpr double min_correction = 0.25;
constexpr double max_correction = 1.5;

} // namespace

double rejection_control::kept_share(time_point now) const
{
    const std::chrono::duration<double> elapsed = now - at_;
    return std::exp(-std::max(elapsed.count(), 0.0) / window_seconds);
}

void rejection_control::decay(time_point now)
{
    const double kept = kept_share(now);
    arrivals_ *= kept;
    rejected_ *= kept;
    at_ = std::max(at_, now);
}

void rejection_control::on_attempt(bool rejected, time_point now)
{
    decay(now);
    arrivals_ += 1;
    rejected_ += rejected ? 1 : 0;
    if (rejected_share(now) < min_rejected_share)
    {
        correction_ = 1;
    }
}

void rejection_control::on_repeat(bool allowed, time_point now)
{
    if (rejected_share(now) >= min_rejected_share)
    {
        correction_ = std::clamp(
            correction_ * (allowed ? rise_by_allowed : fall_by_denied),
            min_correction,
            max_correction);
    }
}

double rejection_control::rejected_share(time_point now) const
{
    return arrivals_ * kept_share(now) < min_arrivals ? 0
                                                      : rejected_ / arrivals_;
}

double rejection_control::refused_share(double ratio, time_point now) const
{
    const double rejected = rejected_share(now);
    if (rejected < min_rejected_share)
    {
        return 0;
    }
    const double admitted =
        correction_ * std::max(ratio, 0.0) * (1 - rejected) / rejected;
    return std::clamp(1 - admitted, 0.0, 1.0);
}

} // namespace nutmegusher
