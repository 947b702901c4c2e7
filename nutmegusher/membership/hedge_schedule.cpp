#include "nutmegusher/membership/hedge_schedule.hpp"

#include <algorithm>

namespace nutmegusher
{

hedge_schedule::hedge_schedule(hedge_options options)
    : options_(options)
    , backoff_(options.initial_backoff)
{
}

void hedge_schedule::request_sent(time_point now)
{
    request_sent_at_ = now;
}

void hedge_schedule::advance_current_at(time_point current_at)
{
    if (current_at > current_at_)
    {
        current_at_ = current_at;
        backoff_ = options_.initial_backoff;
    }
}

void hedge_schedule::hedge_sent(time_point now, random_engine& random)
{
    const auto half = backoff_ / 2;
    const auto part = uniform_unit(random) * static_cast<double>(half.count());
    next_hedge_at_ = now + half + duration(static_cast<duration::rep>(part));
    backoff_ = std::min(2 * backoff_, options_.max_backoff);
}

time_point hedge_schedule::due() const
{
    return std::max(
        {current_at_ + options_.stale_after,
         request_sent_at_ + options_.reply_wait,
         next_hedge_at_});
}

} // namespace nutmegusher
