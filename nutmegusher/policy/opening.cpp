#include "nutmegusher/policy/opening.hpp"

#include <algorithm>
#include <numeric>

namespace nutmegusher
{

opening::opening(time_point now)
    : started_(now)
    , held_back_at_(now)
{
}

void opening::wait(std::uint8_t rank)
{
    ++waiting_.at(rank);
}

void opening::leave(std::uint8_t rank)
{
    auto& waiting = waiting_.at(rank);
    waiting -= std::min<std::size_t>(waiting, 1);
}

bool opening::enter(std::uint8_t rank, time_point now)
{
    const auto end = waiting_.begin() + rank;
    const auto better = std::accumulate(waiting_.begin(), end, std::size_t{0});
    const bool fits = static_cast<double>(in_work_ + better) < window_;
    if (!fits && !is_over(now))
    {
        held_back_at_ = now;
        return false;
    }
    ++in_work_;
    return true;
}

void opening::on_answer(double level, time_point now)
{
    in_work_ -= std::min<std::size_t>(in_work_, 1);
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
        window_ = std::max(first_window, window_ - 1);
    }
}

bool opening::is_over(time_point now) const
{
    return now - held_back_at_ > settled_after || now - started_ > longest;
}

} // namespace nutmegusher
