#include "nutmegusher/teams/team_table.hpp"

#include <algorithm>

namespace nutmegusher
{

namespace
{

// Higher numbers in a document count as the last rank.
constexpr std::uint32_t lowest_rank = 9;

std::uint8_t to_rank(std::uint32_t rank)
{
    return static_cast<std::uint8_t>(std::min(rank, lowest_rank));
}

} // namespace

team_table team_table::create(const messages::route_document& document)
{
    team_table made;
    std::vector<std::uint8_t> team_ranks;
    for (const auto& each : document.teams())
    {
        team added;
        added.name = each.name();
        added.limit = {each.rate(), each.burst()};
        if (each.has_rank())
        {
            added.rank = to_rank(each.rank());
            team_ranks.push_back(*added.rank);
        }
        for (const auto& bytes : each.key_digests())
        {
            if (const auto digest = key_digest::from_bytes(bytes))
            {
                made.by_digest_.emplace(*digest, made.teams_.size());
            }
        }
        made.by_name_.emplace(added.name, made.teams_.size());
        made.teams_.push_back(std::move(added));
    }
    std::vector<std::uint8_t> route_ranks;
    for (const auto& each : document.routes())
    {
        route_ranks.push_back(to_rank(each.rank()));
    }
    made.ranks_ =
        rank_scale::create(std::move(team_ranks), std::move(route_ranks));
    return made;
}

const team* team_table::find(const key_digest& digest) const
{
    const auto found = by_digest_.find(digest);
    return found == by_digest_.end() ? nullptr : &teams_[found->second];
}

const team* team_table::find(std::string_view name) const
{
    const auto found = by_name_.find(std::string(name));
    return found == by_name_.end() ? nullptr : &teams_[found->second];
}

} // namespace nutmegusher
