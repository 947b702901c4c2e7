#include "nutmegusher/policy/retry_after_schedule.hpp"

#include <algorithm>

namespace nutmegusher
{

namespace
{

// Without any capacity one slot a second is assigned, so that the wait stays
// finite and some callers probe for a recovery.
constexpr double min_capacity_per_second = 1.0;

} // namespace

duration retry_after_schedule::next(double capacity_per_second, time_point now)
{
    const double capacity =
        std::max(capacity_per_second, min_capacity_per_second);
    const auto gap = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1.0 / capacity));
    last_slot_ = std::clamp(last_slot_ + gap, now, now + max_retry_after);
    return wait(now);
}

duration retry_after_schedule::wait(time_point now) const
{
    return std::clamp(last_slot_ - now, min_retry_after, max_retry_after);
}

duration jittered(duration mean, random_engine& engine)
{
    const double factor = 0.5 + uniform_unit(engine);
    return std::chrono::duration_cast<duration>(mean * factor);
}

} // namespace nutmegusher
