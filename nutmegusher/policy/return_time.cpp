#include "nutmegusher/policy/return_time.hpp"

#include <algorithm>

namespace nutmegusher
{

namespace
{

// Better ranks may leave nothing; some of it still comes free as callers give
// up, and a wait must be finite.
constexpr double least_spare_share = 0.05;

} // namespace

duration return_time(const pressure& now)
{
    const double spare = std::max(
        now.drain_per_second - now.better_per_second,
        now.drain_per_second * least_spare_share);
    const double backlog = now.waiting + now.refused_lately;
    if (backlog <= 0)
    {
        return shortest_return;
    }
    if (spare <= 0)
    {
        return longest_return;
    }
    const double longest =
        std::chrono::duration<double>(longest_return).count();
    const double seconds = std::min(backlog / spare, longest);
    const auto wait = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
    return std::max(wait, shortest_return);
}

duration spread(duration mean, random_engine& engine)
{
    const double factor = 0.5 + uniform_unit(engine);
    return std::chrono::duration_cast<duration>(mean * factor);
}

} // namespace nutmegusher
