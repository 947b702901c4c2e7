#include "nutmegusher/wire/liveness.hpp"

#include <algorithm>

namespace nutmegusher::wire::internal
{

liveness::action liveness::tick(duration elapsed, bool busy)
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
        if (quiet_ < (busy ? ping_interval_ : idle_ping_interval_))
        {
            return action::none;
        }
        ping_sent_ = true;
        return action::send_ping;
    }
    unanswered_ += elapsed;
    suspect_ = unanswered_ >= silence_limit_;
    const bool over = unanswered_ >= silence_limit_ + give_up_limit_;
    return over ? action::give_up : action::none;
}

duration liveness::plan_tick(bool busy)
{
    if (!ping_sent_)
    {
        planned_ = busy ? ping_interval_ : idle_ping_interval_;
        return planned_;
    }
    const auto next_limit =
        suspect_ ? silence_limit_ + give_up_limit_ : silence_limit_;
    const auto left = std::max<duration>(
        next_limit - unanswered_, std::chrono::milliseconds(1));
    planned_ = std::min(left, ping_interval_);
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
