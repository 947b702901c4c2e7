#include "nutmegusher/policy/shed_table.hpp"

#include <algorithm>

namespace nutmegusher
{

void shed_table::record(
    std::uint64_t call_path, const shed_level& from, time_point now)
{
    auto& entry = levels_[from.service];
    const bool fresh = now - entry.at < level_lifetime;
    entry.level = fresh
                      ? entry.level + (from.level - entry.level) * sample_weight
                      : from.level;
    entry.at = now;
    path_services_[{call_path, from.service}] = now;
}

double shed_table::level(std::uint64_t call_path, time_point now) const
{
    double highest = 0;
    for (const auto& each : levels(call_path, now))
    {
        highest = std::max(highest, each.level);
    }
    return highest;
}

std::vector<shed_level>
shed_table::levels(std::uint64_t call_path, time_point now) const
{
    std::vector<shed_level> all;
    auto at = path_services_.lower_bound({call_path, service_name()});
    for (; at != path_services_.end() && at->first.first == call_path; ++at)
    {
        const auto& service = at->first.second;
        const auto found = levels_.find(service);
        const bool on_call_path = now - at->second < path_lifetime;
        if (on_call_path && found != levels_.end() &&
            now - found->second.at < level_lifetime)
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
