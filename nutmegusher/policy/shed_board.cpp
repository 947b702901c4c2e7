#include "nutmegusher/policy/shed_board.hpp"

#include <algorithm>

namespace nutmegusher
{

void shed_board::note(std::uint64_t way, const shed_level& from, time_point now)
{
    auto& known = levels_[from.service];
    const bool fresh = now - known.at < memory;
    known.level =
        fresh ? known.level + (from.level - known.level) * weight : from.level;
    known.at = now;
    ways_[{way, from.service}] = now;
}

double shed_board::level(std::uint64_t way, time_point now) const
{
    double highest = 0;
    for (const auto& each : levels(way, now))
    {
        highest = std::max(highest, each.level);
    }
    return highest;
}

std::vector<shed_level>
shed_board::levels(std::uint64_t way, time_point now) const
{
    std::vector<shed_level> all;
    auto at = ways_.lower_bound({way, service_name()});
    for (; at != ways_.end() && at->first.first == way; ++at)
    {
        const auto& service = at->first.second;
        const auto found = levels_.find(service);
        const bool on_the_way = now - at->second < way_memory;
        if (on_the_way && found != levels_.end() &&
            now - found->second.at < memory)
        {
            all.push_back({service, found->second.level});
        }
    }
    return all;
}

bool is_shed(double level, std::size_t ranks_below, double fraction)
{
    return level - static_cast<double>(ranks_below) > fraction;
}

} // namespace nutmegusher
