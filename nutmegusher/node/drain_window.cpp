#include "nutmegusher/node/drain_window.hpp"

#include <algorithm>

namespace nutmegusher::node
{

void drain_window::begin(time_point bounded_from, time_point give_up_at)
{
    // In this order: a reader that sees the first sees the second.
    give_up_at_ = give_up_at;
    bounded_from_ = bounded_from;
}

bool drain_window::admits(time_point now, time_point deadline) const
{
    return now < bounded_from_.load() || deadline <= give_up_at_.load();
}

duration drain_window::time_left(time_point now) const
{
    const auto give_up_at = give_up_at_.load();
    return give_up_at == time_point::max()
               ? duration::zero()
               : std::max(give_up_at - now, duration::zero());
}

} // namespace nutmegusher::node
