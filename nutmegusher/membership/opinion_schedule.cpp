#include "nutmegusher/membership/opinion_schedule.hpp"

#include <algorithm>

namespace nutmegusher
{

opinion_schedule::opinion_schedule(opinion_options options)
    : options_(options)
    , pause_(options.first_pause)
{
}

void opinion_schedule::asked(time_point now)
{
    asked_at_ = now;
}

void opinion_schedule::learned(time_point current_at)
{
    if (current_at > current_at_)
    {
        current_at_ = current_at;
        pause_ = options_.first_pause;
    }
}

void opinion_schedule::asked_other(time_point now, random_engine& random)
{
    const auto half = pause_ / 2;
    const auto part = uniform_unit(random) * static_cast<double>(half.count());
    next_at_ = now + half + duration(static_cast<duration::rep>(part));
    pause_ = std::min(2 * pause_, options_.max_pause);
}

time_point opinion_schedule::due() const
{
    return std::max(
        {current_at_ + options_.old_after,
         asked_at_ + options_.patience,
         next_at_});
}

} // namespace nutmegusher
