#include "nutmegusher/policy/slow_start.hpp"

#include <algorithm>
#include <numeric>

namespace nutmegusher
{

slow_start::slow_start(time_point now)
    : started_(now)
    , last_held_back_(now)
{
}

void slow_start::wait(std::uint8_t rank)
{
    ++waiting_.at(rank);
}

void slow_start::leave(std::uint8_t rank)
{
    auto& waiting = waiting_.at(rank);
    waiting -= std::min<std::size_t>(waiting, 1);
}

bool slow_start::enter(std::uint8_t rank, time_point now)
{
    const auto end = waiting_.begin() + rank;
    const auto better = std::accumulate(waiting_.begin(), end, std::size_t{0});
    const bool fits = static_cast<double>(in_flight_ + better) < window_;
    if (!fits && !is_over(now))
    {
        last_held_back_ = now;
        return false;
    }
    ++in_flight_;
    return true;
}

void slow_start::on_answer(double level, time_point now)
{
    in_flight_ -= std::min<std::size_t>(in_flight_, 1);
    if (is_over(now))
    {
        return;
    }
    if (level < low_level)
    {
        window_ += 1;
    }
    else if (level > 2 * low_level)
    {
        window_ = std::max(initial_window, window_ - 1);
    }
}

bool slow_start::is_over(time_point now) const
{
    return now - last_held_back_ > quiet_time || now - started_ > max_duration;
}

} // namespace nutmegusher
