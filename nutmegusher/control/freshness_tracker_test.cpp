#include "nutmegusher/control/test_cluster.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::control_test
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{std::chrono::hours(1)};
// Longer than two heartbeats and the round trip of a proof.
constexpr milliseconds max_expected_age{250};

TEST(freshness_tracker, counts_once_the_commit_is_applied)
{
    freshness_tracker tracker;
    tracker.add_proof(3, start);
    tracker.add_proof(5, start + seconds(1));
    EXPECT_EQ(tracker.as_of(), time_point());
    tracker.applied(4);
    EXPECT_EQ(tracker.as_of(), start);
    tracker.applied(5);
    EXPECT_EQ(tracker.as_of(), start + seconds(1));
}

TEST(freshness_tracker, never_goes_back)
{
    freshness_tracker tracker;
    tracker.applied(5);
    tracker.add_proof(5, start + seconds(1));
    tracker.add_proof(4, start);
    EXPECT_EQ(tracker.as_of(), start + seconds(1));
}

// While thousands of entries arrive, the first proofs must be kept: they are
// reached first.
TEST(freshness_tracker, moves_on_during_a_long_catch_up)
{
    freshness_tracker tracker;
    for (log_index commit = 1; commit <= 1000; ++commit)
    {
        tracker.add_proof(commit, start + milliseconds(50 * commit));
    }
    tracker.applied(10);
    EXPECT_EQ(tracker.as_of(), start + milliseconds(500));
    tracker.applied(1000);
    tracker.add_proof(1000, start + seconds(51));
    EXPECT_EQ(tracker.as_of(), start + seconds(51));
}

class group_freshness : public testing::Test
{
protected:
    group_freshness()
        : hosts(5, 1)
    {
        hosts.run(seconds(2));
    }

    [[nodiscard]] duration age(const host& at) const
    {
        const auto now = hosts.now + at.clock_offset;
        return now - at.running().core().known_current_at();
    }

    host& follower()
    {
        for (auto& each : hosts.hosts)
        {
            if (!each.leads())
            {
                return each;
            }
        }
        return hosts.hosts.front();
    }

    cluster hosts;
};

TEST_F(group_freshness, is_fresh_at_every_member_while_all_is_well)
{
    for (int i = 0; i < 100; ++i)
    {
        hosts.propose(*hosts.leader(), std::to_string(i));
        hosts.run(milliseconds(37));
        for (const auto& each : hosts.hosts)
        {
            EXPECT_LE(age(each), max_expected_age) << each.name();
        }
    }
    EXPECT_EQ(hosts.violation(), "");
}

TEST_F(group_freshness, ages_where_a_host_is_cut_off)
{
    auto& isolated = follower();
    hosts.partition({isolated.name()});
    hosts.run(seconds(3));
    EXPECT_GE(age(isolated), seconds(3));
    hosts.heal();
    hosts.run(seconds(1));
    EXPECT_LE(age(isolated), max_expected_age);
    EXPECT_EQ(hosts.violation(), "");
}

// The leader's heartbeats continue for a while but no longer prove anything.
TEST_F(group_freshness, ages_with_a_leader_that_lost_its_majority)
{
    auto& leads = *hosts.leader();
    auto& isolated_follower = follower();
    hosts.partition({leads.name(), isolated_follower.name()});
    hosts.run(seconds(2));
    EXPECT_GE(age(leads), seconds(2) - max_expected_age);
    EXPECT_GE(age(isolated_follower), seconds(2) - max_expected_age);
    EXPECT_EQ(hosts.violation(), "");
}

TEST_F(group_freshness, ages_where_entries_arrive_slowly)
{
    auto& slow = follower();
    hosts.link =
        network_link{100'000, 8 * 1024 * 1024, seconds(20), slow.name()};
    hosts.propose(*hosts.leader(), "large", 400'000);
    hosts.run(seconds(2));
    EXPECT_GE(age(slow), seconds(1));
    EXPECT_EQ(hosts.violation(), "");
}

// A learner never starts an election, so it must notice the loss of its leader
// by the timeout alone.
TEST_F(group_freshness, a_learner_forgets_a_leader_that_went_silent)
{
    auto members = hosts.all_voters();
    auto& learner = hosts.add_host("learner");
    ASSERT_TRUE(learner.start());
    auto& added = *members.add_members();
    added.set_identity(learner.id().value());
    added.set_host(learner.name());
    ASSERT_TRUE(hosts.propose_membership(*hosts.leader(), members));
    hosts.run(seconds(1));
    EXPECT_TRUE(learner.running().core().leader());
    EXPECT_LE(age(learner), max_expected_age);
    hosts.partition({learner.name()});
    hosts.run(seconds(2));
    EXPECT_FALSE(learner.running().core().leader());
    EXPECT_GE(age(learner), seconds(2));
}

TEST_F(group_freshness, is_old_after_a_freeze)
{
    auto& frozen = follower();
    frozen.frozen = true;
    hosts.run(seconds(5));
    EXPECT_GE(age(frozen), seconds(5));
}

TEST_F(group_freshness, starts_without_a_proof)
{
    auto& restarted = follower();
    restarted.crash();
    ASSERT_TRUE(restarted.start());
    EXPECT_EQ(restarted.running().core().known_current_at(), time_point());
    hosts.run(seconds(1));
    EXPECT_LE(age(restarted), max_expected_age);
}

// Large entries for other hosts (megabytes) can delay a message for seconds.
TEST_F(group_freshness, is_never_claimed_too_soon_over_slow_messages)
{
    hosts.faults.max_delay = milliseconds(700);
    for (int i = 0; i < 300; ++i)
    {
        if (auto* const leads = hosts.leader())
        {
            hosts.propose(*leads, std::to_string(i));
        }
        hosts.run(milliseconds(50));
        ASSERT_EQ(hosts.violation(), "");
    }
}

} // namespace
} // namespace nutmegusher::control_test
