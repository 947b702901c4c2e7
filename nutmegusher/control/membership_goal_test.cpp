// The membership changes of an automatic repair, derived from the leader's
// view.
#include "nutmegusher/control/membership_plan.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace nutmegusher
{
namespace
{

using namespace std::chrono_literals;

messages::replica_member
member(std::uint64_t identity, const std::string& host, bool voter)
{
    messages::replica_member made;
    made.set_identity(identity);
    made.set_host(host);
    made.set_address("127.0.0.1:1");
    made.set_voter(voter);
    return made;
}

class next_membership_test : public ::testing::Test
{
protected:
    next_membership_test()
    {
        goal.voters = 5;
        for (std::uint64_t i = 1; i <= 5; ++i)
        {
            view.push_back(
                {member(i, "h" + std::to_string(i), true), 0s, true});
        }
    }

    [[nodiscard]] std::vector<std::uint64_t> voters_after() const
    {
        const auto next = next_membership(goal, view, join_requests);
        std::vector<std::uint64_t> ids;
        if (next)
        {
            for (const auto& each : next->members())
            {
                if (each.voter())
                {
                    ids.push_back(each.identity());
                }
            }
        }
        return ids;
    }

    voter_goal goal;
    std::vector<member_view> view;
    std::vector<messages::replica_member> join_requests;
};

TEST_F(next_membership_test, a_whole_group_stays_as_it_is)
{
    EXPECT_FALSE(next_membership(goal, view, join_requests));
}

TEST_F(next_membership_test, a_lost_voter_without_a_successor_is_kept)
{
    view[4].silent_for = 1h;
    EXPECT_FALSE(next_membership(goal, view, join_requests));
}

TEST_F(next_membership_test, a_host_that_asks_becomes_a_learner_first)
{
    view[4].silent_for = 1h;
    join_requests.push_back(member(6, "h6", true));
    const auto next = next_membership(goal, view, join_requests);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->members_size(), 6);
    EXPECT_EQ(voters_after().size(), 5U);
}

TEST_F(next_membership_test, the_successor_votes_before_the_lost_one_goes)
{
    view[4].silent_for = 3s;
    view.push_back({member(6, "h6", false), 0s, false});
    EXPECT_FALSE(next_membership(goal, view, join_requests)) << "not caught up";
    view[5].caught_up = true;
    EXPECT_EQ(voters_after(), (std::vector<std::uint64_t>{1, 2, 3, 4, 5, 6}));
    view[5].member.set_voter(true);
    EXPECT_EQ(voters_after(), (std::vector<std::uint64_t>{1, 2, 3, 4, 6}));
}

TEST_F(next_membership_test, a_wiped_host_is_replaced_by_itself_at_once)
{
    view[1].silent_for = 100ms;
    view.push_back({member(6, "h2", false), 0s, true});
    EXPECT_EQ(voters_after().size(), 6U);
}

TEST_F(next_membership_test, a_host_beyond_the_goal_waits_as_a_learner)
{
    view.push_back({member(6, "h6", false), 0s, true});
    EXPECT_FALSE(next_membership(goal, view, join_requests));
}

TEST_F(next_membership_test, a_partition_removes_nobody)
{
    view.push_back({member(6, "h6", true), 0s, true});
    for (std::size_t i = 0; i < 4; ++i)
    {
        view[i].silent_for = 5s;
    }
    EXPECT_FALSE(next_membership(goal, view, join_requests))
        << "only two of six voters answer";
}

// Two disks are lost at once. A majority of the voters that hold the
// acknowledged entries must always remain, with five healthy voters in the end.
TEST_F(next_membership_test, two_wiped_at_once_are_both_replaced)
{
    view[0].silent_for = 300ms;
    view[1].silent_for = 300ms;
    join_requests.push_back(member(6, "h1", true));
    join_requests.push_back(member(7, "h2", true));
    for (int step = 0; step < 12; ++step)
    {
        const auto next = next_membership(goal, view, join_requests);
        if (!next)
        {
            break;
        }
        std::vector<member_view> after;
        for (const auto& each : next->members())
        {
            const bool lost = each.identity() <= 2;
            after.push_back({each, lost ? duration(1s) : duration(0s), true});
        }
        view = after;
    }
    std::vector<std::uint64_t> ids;
    for (const auto& each : view)
    {
        EXPECT_TRUE(each.member.voter());
        ids.push_back(each.member.identity());
    }
    std::sort(ids.begin(), ids.end());
    EXPECT_EQ(ids, (std::vector<std::uint64_t>{3, 4, 5, 6, 7}));
}

} // namespace
} // namespace nutmegusher
