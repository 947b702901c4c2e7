#include "nutmegusher/policy/path_shares.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace nutmegusher
{

namespace
{

// A rank with a few requests only isn't one that others must make room for.
constexpr double min_better_share = 0.05;

} // namespace

void path_shares::on_request(std::uint8_t rank, time_point now)
{
    using seconds = std::chrono::duration<double>;
    const double halvings = seconds(now - at_) / seconds(half_life);
    const double kept = std::exp2(-std::max(halvings, 0.0));
    for (auto& each : requests_)
    {
        each *= kept;
    }
    at_ = std::max(at_, now);
    requests_.at(rank) += 1;
}

double
path_shares::refused_share(std::uint8_t rank, double refused_of_all) const
{
    const double all = std::accumulate(requests_.begin(), requests_.end(), 0.0);
    double left = refused_of_all * all;
    for (std::size_t worst = rank_count - 1; worst > rank; --worst)
    {
        left -= requests_.at(worst) * max_refused;
    }
    const double own = requests_.at(rank);
    const double better =
        std::accumulate(requests_.begin(), requests_.begin() + rank, 0.0);
    const bool is_best = better < own * min_better_share;
    return own <= 0 || is_best ? 0 : std::clamp(left / own, 0.0, max_refused);
}

} // namespace nutmegusher
