#include "nutmegusher/teams/rank_scale.hpp"

#include <algorithm>
#include <iterator>

namespace nutmegusher
{

namespace
{

constexpr std::size_t scale_size = 10;

void sort_unique(std::vector<std::uint8_t>& values)
{
    std::sort(values.begin(), values.end());
    values.erase(std::unique(values.begin(), values.end()), values.end());
}

std::size_t
index_of(const std::vector<std::uint8_t>& values, std::uint8_t value)
{
    const auto found = std::lower_bound(values.begin(), values.end(), value);
    return static_cast<std::size_t>(std::distance(values.begin(), found));
}

} // namespace

rank_scale rank_scale::create(
    std::vector<std::uint8_t> team_ranks, std::vector<std::uint8_t> route_ranks)
{
    rank_scale made;
    made.team_ranks_ = std::move(team_ranks);
    made.route_ranks_ = std::move(route_ranks);
    sort_unique(made.team_ranks_);
    sort_unique(made.route_ranks_);
    if (made.team_ranks_.empty())
    {
        made.used_ = made.route_ranks_;
        return made;
    }
    for (const auto team : made.team_ranks_)
    {
        for (const auto route : made.route_ranks_)
        {
            made.used_.push_back(made.rank_of(team, route));
        }
    }
    sort_unique(made.used_);
    return made;
}

std::uint8_t
rank_scale::rank_of(std::optional<std::uint8_t> team, std::uint8_t route) const
{
    if (team_ranks_.empty())
    {
        return route;
    }
    const auto team_index = team ? index_of(team_ranks_, *team) : 0;
    const auto count = team_ranks_.size() * route_ranks_.size();
    auto index =
        team_index * route_ranks_.size() + index_of(route_ranks_, route);
    if (count > scale_size)
    {
        index = index * scale_size / count;
    }
    return static_cast<std::uint8_t>(std::min(index, scale_size - 1));
}

double rank_scale::shed_share(double level, std::uint8_t rank) const
{
    const auto lower = std::distance(
        std::upper_bound(used_.begin(), used_.end(), rank), used_.end());
    const auto ranks_per_unit =
        static_cast<double>(std::max<std::size_t>(team_ranks_.size(), 1));
    return level * ranks_per_unit - static_cast<double>(lower);
}

} // namespace nutmegusher
