// Ranks of requests where teams have ranks of their own.
#ifndef NUTMEGUSHER_TEAMS_RANK_SCALE_HPP
#define NUTMEGUSHER_TEAMS_RANK_SCALE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace nutmegusher
{

// Orders requests by the rank of their team and, within it, by that of their
// route, on the scale of ranks from 0 to 9 that admission decisions use.
//
//     const auto scale = rank_scale::create(team_ranks, route_ranks);
//     const auto rank = scale.rank_of(team.rank, route.rank);
//     if (scale.shed_share(level, rank) > fraction) refuse();
//
// A request without a team has the best team's rank: it is a sub-call of a
// request that was admitted, or its route admits anybody. Without ranks of
// teams the scale consists of the routes' ranks as they are.
//
// Immutable and thread-safe.
class rank_scale
{
public:
    rank_scale() = default;

    [[nodiscard]] static rank_scale create(
        std::vector<std::uint8_t> team_ranks,
        std::vector<std::uint8_t> route_ranks);

    [[nodiscard]] std::uint8_t
    rank_of(std::optional<std::uint8_t> team, std::uint8_t route) const;

    // The share of the requests of a rank to shed at a shed level, at most 1;
    // not positive if none. One unit of the level stands for all requests of
    // one rank of routes, or for as many ranks of the scale as there are ranks
    // of teams.
    [[nodiscard]] double shed_share(double level, std::uint8_t rank) const;

private:
    // Ascending, each once.
    std::vector<std::uint8_t> team_ranks_;
    std::vector<std::uint8_t> route_ranks_;
    // The ranks in use, ascending.
    std::vector<std::uint8_t> used_;
};

} // namespace nutmegusher

#endif
