#include "nutmegusher/teams/team_table.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

messages::route_document make_document()
{
    messages::route_document document;
    document.add_routes()->set_rank(2);
    auto& treasury = *document.add_teams();
    treasury.set_name("treasury");
    treasury.set_rank(0);
    treasury.set_rate(373);
    treasury.set_burst(100);
    treasury.add_key_digests(key_digest::of("k1").bytes());
    treasury.add_key_digests(key_digest::of("k2").bytes());
    auto& audit = *document.add_teams();
    audit.set_name("audit");
    audit.add_key_digests(key_digest::of("k3").bytes());
    return document;
}

TEST(team_table, finds_the_team_of_each_key)
{
    const auto table = team_table::create(make_document());
    ASSERT_NE(table.find(key_digest::of("k1")), nullptr);
    EXPECT_EQ(table.find(key_digest::of("k1"))->name, "treasury");
    EXPECT_EQ(
        table.find(key_digest::of("k2")), table.find(key_digest::of("k1")));
    ASSERT_NE(table.find(key_digest::of("k3")), nullptr);
    EXPECT_EQ(table.find(key_digest::of("k3"))->name, "audit");
    EXPECT_EQ(table.find(key_digest::of("k4")), nullptr);
    EXPECT_EQ(table.find(key_digest::of("")), nullptr);
}

TEST(team_table, keeps_ranks_and_limits)
{
    const auto table = team_table::create(make_document());
    const auto* const treasury = table.find("treasury");
    ASSERT_NE(treasury, nullptr);
    EXPECT_EQ(treasury->rank, 0);
    EXPECT_EQ(treasury->limit, (quota{373, 100}));
    const auto* const audit = table.find("audit");
    ASSERT_NE(audit, nullptr);
    EXPECT_FALSE(audit->rank);
    EXPECT_FALSE(audit->limit.is_limited());
}

TEST(team_table, is_empty_without_teams)
{
    EXPECT_TRUE(team_table::create({}).empty());
    EXPECT_FALSE(team_table::create(make_document()).empty());
}

} // namespace
} // namespace nutmegusher
