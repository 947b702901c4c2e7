#include "nutmegusher/policy/shed_table.hpp"

#include <algorithm>

namespace nutmegusher
{

void shed_table::record(
    std::uint64_t call_path, const shed_level& from, time_point now)
{
    const source reporter{from.service, from.cause};
    auto& entry = levels_[reporter];
    const bool fresh = now - entry.at < level_lifetime;
    entry.level = fresh
                      ? entry.level + (from.level - entry.level) * sample_weight
                      : from.level;
    entry.at = now;
    path_sources_[{call_path, reporter}] = now;
}

double shed_table::level(
    std::uint64_t call_path, time_point now, shed_cause cause) const
{
    double highest = 0;
    for (const auto& each : levels(call_path, now))
    {
        highest = each.cause == cause ? std::max(highest, each.level) : highest;
    }
    return highest;
}

std::vector<shed_level>
shed_table::levels(std::uint64_t call_path, time_point now) const
{
    std::vector<shed_level> all;
    auto at = path_sources_.lower_bound({call_path, source()});
    for (; at != path_sources_.end() && at->first.first == call_path; ++at)
    {
        const auto& reporter = at->first.second;
        const auto found = levels_.find(reporter);
        const bool on_call_path = now - at->second < path_lifetime;
        if (on_call_path && found != levels_.end() &&
            now - found->second.at < level_lifetime)
        {
            all.push_back(
                {reporter.service, found->second.level, reporter.cause});
        }
    }
    return all;
}

bool is_shed(double level, std::size_t ranks_below, double fraction)
{
    return level - static_cast<double>(ranks_below) > fraction;
}

} // namespace nutmegusher
