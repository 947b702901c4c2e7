#include "nutmegusher/wire/liveness.hpp"

#include <algorithm>

namespace nutmegusher::wire::internal
{

duration liveness::interval(waiting now) const
{
    switch (now)
    {
    case waiting::nothing:
        return options_.idle_ping_interval;
    case waiting::an_answer:
        return options_.ping_interval;
    case waiting::a_near_answer:
        break;
    }
    return std::min(options_.ping_interval, options_.near_ping_interval);
}

duration liveness::silence(waiting now) const
{
    return now == waiting::a_near_answer
               ? std::min(options_.silence_limit, options_.near_silence_limit)
               : options_.silence_limit;
}

liveness::action liveness::tick(duration elapsed, waiting now)
{
    if (received_)
    {
        start_over();
        return action::none;
    }
    const bool paused = elapsed > 2 * planned_;
    if (paused)
    {
        return action::none;
    }
    if (!ping_sent_)
    {
        quiet_ += elapsed;
        if (quiet_ < interval(now))
        {
            return action::none;
        }
        ping_sent_ = true;
        return action::send_ping;
    }
    unanswered_ += elapsed;
    suspect_ = unanswered_ >= silence(now);
    const bool over =
        unanswered_ >= options_.silence_limit + options_.give_up_limit;
    return over ? action::give_up : action::none;
}

void liveness::unanswered(duration time)
{
    received_ = false;
    ping_sent_ = true;
    suspect_ = true;
    unanswered_ = std::max(unanswered_, time);
}

duration liveness::plan_tick(waiting now)
{
    if (!ping_sent_)
    {
        planned_ = interval(now);
        return planned_;
    }
    const auto next_limit =
        suspect_ ? options_.silence_limit + options_.give_up_limit
                 : silence(now);
    const auto left = std::max<duration>(
        next_limit - unanswered_, std::chrono::milliseconds(1));
    planned_ = std::min(left, options_.ping_interval);
    return planned_;
}

void liveness::start_over()
{
    received_ = false;
    suspect_ = false;
    ping_sent_ = false;
    quiet_ = duration::zero();
    unanswered_ = duration::zero();
}

} // namespace nutmegusher::wire::internal
