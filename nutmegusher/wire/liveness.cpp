#include "nutmegusher/wire/liveness.hpp"

#include <algorithm>

namespace nutmegusher::wire::internal
{

duration liveness::ping_interval_for(awaited_response awaited) const
{
    switch (awaited)
    {
    case awaited_response::none:
        return options_.idle_ping_interval;
    case awaited_response::pending:
        return options_.ping_interval;
    case awaited_response::due_soon:
        break;
    }
    return std::min(options_.ping_interval, options_.urgent_ping_interval);
}

duration liveness::silence_timeout_for(awaited_response awaited) const
{
    return awaited == awaited_response::due_soon
               ? std::min(
                     options_.silence_timeout, options_.urgent_silence_timeout)
               : options_.silence_timeout;
}

liveness::action liveness::tick(duration elapsed, awaited_response awaited)
{
    if (received_since_tick_)
    {
        reset();
        return action::none;
    }
    const bool process_paused = elapsed > 2 * tick_interval_;
    if (process_paused)
    {
        return action::none;
    }
    if (!ping_sent_)
    {
        silent_time_ += elapsed;
        if (silent_time_ < ping_interval_for(awaited))
        {
            return action::none;
        }
        ping_sent_ = true;
        return action::send_ping;
    }
    unanswered_time_ += elapsed;
    suspect_ = unanswered_time_ >= silence_timeout_for(awaited);
    const bool expired =
        unanswered_time_ >= options_.silence_timeout + options_.give_up_timeout;
    return expired ? action::give_up : action::none;
}

void liveness::note_unanswered_ping(duration elapsed)
{
    received_since_tick_ = false;
    ping_sent_ = true;
    suspect_ = true;
    unanswered_time_ = std::max(unanswered_time_, elapsed);
}

duration liveness::schedule_tick(awaited_response awaited)
{
    if (!ping_sent_)
    {
        tick_interval_ = ping_interval_for(awaited);
        return tick_interval_;
    }
    const auto next_limit =
        suspect_ ? options_.silence_timeout + options_.give_up_timeout
                 : silence_timeout_for(awaited);
    const auto remaining = std::max<duration>(
        next_limit - unanswered_time_, std::chrono::milliseconds(1));
    tick_interval_ = std::min(remaining, options_.ping_interval);
    return tick_interval_;
}

void liveness::reset()
{
    received_since_tick_ = false;
    suspect_ = false;
    ping_sent_ = false;
    silent_time_ = duration::zero();
    unanswered_time_ = duration::zero();
}

} // namespace nutmegusher::wire::internal
