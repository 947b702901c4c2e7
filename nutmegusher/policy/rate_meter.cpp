#include "nutmegusher/policy/rate_meter.hpp"

namespace nutmegusher
{

void rate_meter::set_limit(
    std::optional<double> calls_per_second, time_point now)
{
    if (!calls_per_second)
    {
        limit_.reset();
        return;
    }
    const double limit = std::max(*calls_per_second, min_rate);
    tokens_ = limit_ ? std::min(tokens_at(now), burst_of(limit)) : 0;
    updated_at_ = now;
    limit_ = limit;
}

double rate_meter::tokens_at(time_point now) const
{
    const std::chrono::duration<double> elapsed(now - updated_at_);
    const double added = std::max(elapsed.count(), 0.0) * *limit_;
    return std::min(tokens_ + added, burst_of(*limit_));
}

bool rate_meter::allows(time_point now) const
{
    return !limit_ || now >= next_start();
}

time_point rate_meter::next_start() const
{
    const std::chrono::duration<double> wait((1 - tokens_) / *limit_);
    // Rounded up, so that `allows` holds at the returned time.
    return updated_at_ +
           std::max(std::chrono::ceil<duration>(wait), duration::zero());
}

void rate_meter::on_start(time_point now)
{
    if (limit_)
    {
        tokens_ = std::max(tokens_at(now) - 1, 0.0);
        updated_at_ = now;
    }
}

} // namespace nutmegusher
