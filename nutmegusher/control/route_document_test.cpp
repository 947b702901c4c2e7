// Route documents: which are refused, and which of several is in force.
#include "nutmegusher/control/control.hpp"
#include "nutmegusher/teams/teams.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <limits>

namespace nutmegusher
{
namespace
{

messages::route_document document(std::uint64_t version, std::uint64_t based_on)
{
    messages::route_document made;
    made.set_version(version);
    made.set_based_on(based_on);
    made.set_source("as sent " + std::to_string(version));
    made.add_services()->set_name("balances");
    auto& route = *made.add_routes();
    route.set_name("views");
    route.set_host("a.example");
    route.set_path_prefix("/views/");
    route.set_deadline_ms(800);
    route.set_max_tries(2);
    auto& to = *route.add_destinations();
    to.set_service("balances");
    to.set_weight(1);
    return made;
}

messages::change
install(const std::string& id, const messages::route_document& what)
{
    messages::change change;
    change.set_change_id(id);
    *change.mutable_install_routes() = what;
    return change;
}

struct invalid_document
{
    messages::change_problem problem;
    std::function<void(messages::route_document&)> corrupt;
};

TEST(route_check, names_what_is_wrong)
{
    const auto route = [](messages::route_document& of)
    {
        return of.mutable_routes(0);
    };
    const std::vector<invalid_document> all{
        {messages::problem_unknown_service,
         [&](auto& it)
         {
             route(it)->mutable_destinations(0)->set_service("none");
         }},
        {messages::problem_negative_weight,
         [&](auto& it)
         {
             route(it)->mutable_destinations(0)->set_weight(-1);
         }},
        {messages::problem_no_weight,
         [&](auto& it)
         {
             route(it)->mutable_destinations(0)->set_weight(0);
         }},
        {messages::problem_zero_deadline,
         [&](auto& it)
         {
             route(it)->set_deadline_ms(0);
         }},
        {messages::problem_zero_tries,
         [&](auto& it)
         {
             route(it)->set_max_tries(0);
         }},
        {messages::problem_empty_host,
         [&](auto& it)
         {
             route(it)->set_host("");
         }},
        {messages::problem_bad_path,
         [&](auto& it)
         {
             route(it)->set_path_prefix("/views");
         }},
        {messages::problem_overlapping_match,
         [&](auto& it)
         {
             *it.add_routes() = it.routes(0);
         }},
        {messages::problem_repeated_name,
         [&](auto& it)
         {
             *it.add_services() = it.services(0);
         }}};
    EXPECT_FALSE(check_routes(document(1, 0)));
    for (const auto& each : all)
    {
        auto corrupted = document(1, 0);
        each.corrupt(corrupted);
        const auto found = check_routes(corrupted);
        ASSERT_TRUE(found) << each.problem;
        EXPECT_EQ(found->problem, each.problem);
        configuration_store store;
        EXPECT_EQ(
            store.apply(install("x", corrupted)).verdict(),
            messages::change_invalid);
        EXPECT_EQ(store.revision(), revision(0));
    }
}

messages::team& add_team(
    messages::route_document& to,
    const std::string& name,
    const std::string& key)
{
    auto& team = *to.add_teams();
    team.set_name(name);
    team.add_key_digests(key_digest::of(key).bytes());
    return team;
}

TEST(team_check, names_what_is_wrong)
{
    const double infinite = std::numeric_limits<double>::infinity();
    const double no_number = std::numeric_limits<double>::quiet_NaN();
    struct invalid_teams
    {
        messages::change_problem problem;
        std::string field;
        std::function<void(messages::route_document&)> corrupt;
    };
    const std::vector<invalid_teams> all{
        {messages::problem_empty_name,
         "teams.name",
         [](auto& it)
         {
             add_team(it, "", "k9");
         }},
        {messages::problem_bad_name,
         "teams.name",
         [](auto& it)
         {
             add_team(it, "a\r\nb", "k9");
         }},
        {messages::problem_repeated_name,
         "teams.audit.name",
         [](auto& it)
         {
             add_team(it, "audit", "k9");
         }},
        {messages::problem_bad_key,
         "teams.empty.keys",
         [](auto& it)
         {
             add_team(it, "empty", "k9").add_key_digests("");
         }},
        {messages::problem_shared_key,
         "teams.other.keys",
         [](auto& it)
         {
             add_team(it, "other", "k1");
         }},
        {messages::problem_shared_key,
         "teams.twice.keys",
         [](auto& it)
         {
             auto& team = add_team(it, "twice", "k9");
             team.add_key_digests(team.key_digests(0));
         }},
        {messages::problem_bad_quota,
         "teams.audit.rate",
         [](auto& it)
         {
             it.mutable_teams(0)->set_rate(-1);
         }},
        {messages::problem_bad_quota,
         "teams.audit.rate",
         [&](auto& it)
         {
             it.mutable_teams(0)->set_rate(infinite);
         }},
        {messages::problem_bad_quota,
         "teams.audit.burst",
         [&](auto& it)
         {
             it.mutable_teams(0)->set_burst(no_number);
         }}};
    for (const auto& each : all)
    {
        auto invalid = document(1, 0);
        add_team(invalid, "audit", "k1");
        ASSERT_FALSE(check_routes(invalid));
        each.corrupt(invalid);
        const auto problem = check_routes(invalid);
        ASSERT_TRUE(problem);
        EXPECT_EQ(problem->problem, each.problem) << problem->field;
        EXPECT_EQ(problem->field, each.field);
    }
}

TEST(route_documents, the_same_document_sent_again_is_acknowledged_again)
{
    configuration_store store;
    const auto first = install("a", document(4, 0));
    EXPECT_EQ(store.apply(first).verdict(), messages::change_accepted);
    EXPECT_EQ(
        store.apply(install("b", document(9, 4))).verdict(),
        messages::change_accepted);
    EXPECT_EQ(store.apply(first).verdict(), messages::change_accepted);
    EXPECT_EQ(store.present().routes().version(), 9U);
    EXPECT_EQ(store.revision(), revision(2));
}

TEST(route_documents, of_two_on_the_same_version_one_wins)
{
    configuration_store store;
    store.apply(install("a", document(4, 0)));
    const auto left = install("b", document(6, 4));
    auto other = document(6, 4);
    other.mutable_routes(0)->set_deadline_ms(5);
    EXPECT_EQ(store.apply(left).verdict(), messages::change_accepted);
    const auto lost = store.apply(install("c", other));
    EXPECT_EQ(lost.verdict(), messages::change_conflict);
    EXPECT_EQ(lost.revision(), 6U);
    EXPECT_EQ(store.present().routes().routes(0).deadline_ms(), 800U);
}

TEST(route_documents, versions_only_rise)
{
    configuration_store store;
    store.apply(install("a", document(4, 0)));
    const auto result = store.apply(install("b", document(4, 4)));
    EXPECT_EQ(result.verdict(), messages::change_invalid);
    EXPECT_EQ(result.problem(), messages::problem_old_version);
}

// Documents may arrive out of order: one whose base version isn't present yet
// is refused, and accepted when it is sent again.
TEST(route_documents, one_that_came_too_early_may_come_again)
{
    configuration_store store;
    const auto second = install("b", document(6, 4));
    EXPECT_EQ(store.apply(second).verdict(), messages::change_conflict);
    store.apply(install("a", document(4, 0)));
    EXPECT_EQ(store.apply(second).verdict(), messages::change_accepted);
}

TEST(route_documents, survive_a_snapshot_and_travel_in_deltas)
{
    configuration_store store;
    store.apply(install("a", document(4, 0)));
    const auto second = install("b", document(5, 4));
    store.apply(second);
    auto restored = configuration_store::restore(store.snapshot());
    ASSERT_TRUE(restored);
    EXPECT_EQ(restored->present().routes().source(), "as sent 5");
    EXPECT_EQ(restored->apply(second).verdict(), messages::change_accepted);

    messages::configuration follower;
    apply_delta(follower, restored->delta_since(revision(0)));
    EXPECT_EQ(follower.routes().version(), 5U);
    EXPECT_EQ(follower.revision(), 2U);
    const auto& kept = restored->history().front().what();
    EXPECT_TRUE(kept.install_routes().routes().empty());
}

} // namespace
} // namespace nutmegusher
