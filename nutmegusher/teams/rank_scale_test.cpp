#include "nutmegusher/teams/rank_scale.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

TEST(rank_scale, without_teams_keeps_the_routes_ranks)
{
    const auto scale = rank_scale::create({}, {0, 2, 2, 5});
    EXPECT_EQ(scale.rank_of(std::nullopt, 5), 5);
    EXPECT_DOUBLE_EQ(scale.shed_share(1.5, 5), 1.5);
    EXPECT_DOUBLE_EQ(scale.shed_share(1.5, 2), 0.5);
    EXPECT_DOUBLE_EQ(scale.shed_share(1.5, 0), -0.5);
}

TEST(rank_scale, orders_by_team_before_route)
{
    const auto scale = rank_scale::create({1, 4}, {0, 1, 2});
    EXPECT_EQ(scale.rank_of(1, 0), 0);
    EXPECT_EQ(scale.rank_of(1, 2), 2);
    EXPECT_EQ(scale.rank_of(4, 0), 3);
    EXPECT_EQ(scale.rank_of(4, 2), 5);
}

TEST(rank_scale, requests_without_a_team_have_the_best_teams_rank)
{
    const auto scale = rank_scale::create({1, 4}, {0, 1, 2});
    EXPECT_EQ(scale.rank_of(std::nullopt, 1), scale.rank_of(1, 1));
}

// One unit of the level sheds all requests of one rank of routes, whatever the
// number of teams' ranks.
TEST(rank_scale, a_unit_of_the_level_is_a_rank_of_routes)
{
    const auto scale = rank_scale::create({0, 1}, {0, 1});
    EXPECT_DOUBLE_EQ(scale.shed_share(0.5, 3), 1);
    EXPECT_DOUBLE_EQ(scale.shed_share(0.5, 2), 0);
    EXPECT_DOUBLE_EQ(scale.shed_share(1, 2), 1);
    EXPECT_DOUBLE_EQ(scale.shed_share(1, 1), 0);
    EXPECT_DOUBLE_EQ(scale.shed_share(2, 0), 1);
}

TEST(rank_scale, fits_more_ranks_than_the_scale_has)
{
    const auto scale = rank_scale::create({0, 1, 2, 3}, {0, 1, 2, 3});
    std::uint8_t last = 0;
    for (const std::uint8_t team : {0, 1, 2, 3})
    {
        for (const std::uint8_t route : {0, 1, 2, 3})
        {
            const auto rank = scale.rank_of(team, route);
            EXPECT_GE(rank, last);
            EXPECT_LE(rank, 9);
            last = rank;
        }
    }
    EXPECT_EQ(last, 9);
}

} // namespace
} // namespace nutmegusher
