#include "nutmegusher/control/test_cluster.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::control_test
{
namespace
{

constexpr std::uint64_t seed = 20261202;

// Proposes the item at the leader and waits until it is acknowledged.
void propose_until_acknowledged(cluster& hosts, const std::string& item)
{
    ASSERT_TRUE(hosts.run_until(
        [&]
        {
            auto* leader = hosts.leader();
            return leader != nullptr && hosts.propose(*leader, item);
        }));
    ASSERT_TRUE(hosts.run_until(
        [&]
        {
            return hosts.acknowledged(item);
        }));
}

bool all_hosts_end_with(cluster& hosts, const std::string& item)
{
    for (auto& each : hosts.hosts)
    {
        if (!each.up())
        {
            continue;
        }
        const auto& items = each.running().machine().items();
        if (items.empty() || items.back() != item)
        {
            return false;
        }
    }
    return true;
}

TEST(replica, one_host_alone_accepts)
{
    cluster hosts(1, seed);
    propose_until_acknowledged(hosts, "a");
    EXPECT_EQ(hosts.violation(), "");
}

TEST(replica, what_is_accepted_reaches_all)
{
    cluster hosts(3, seed);
    for (int i = 0; i < 100; ++i)
    {
        propose_until_acknowledged(hosts, "item-" + std::to_string(i));
    }
    EXPECT_TRUE(hosts.run_until(
        [&]
        {
            return all_hosts_end_with(hosts, "item-99");
        }));
    EXPECT_EQ(hosts.violation(), "");
}

TEST(replica, an_isolated_leader_neither_accepts_nor_answers_reads)
{
    cluster hosts(3, seed);
    propose_until_acknowledged(hosts, "before");
    auto& old_leader = *hosts.leader();
    hosts.partition({old_leader.name()});
    EXPECT_TRUE(hosts.propose(old_leader, "lost"));
    EXPECT_TRUE(hosts.read(old_leader));
    ASSERT_TRUE(hosts.run_until(
        [&]
        {
            return !old_leader.leads();
        }));
    EXPECT_FALSE(hosts.propose(old_leader, "refused"));
    EXPECT_FALSE(hosts.read(old_leader));
    EXPECT_EQ(old_leader.reads_done, 0U);
    EXPECT_EQ(old_leader.reads_failed_count, 1U);
    propose_until_acknowledged(hosts, "after");
    hosts.heal();
    EXPECT_TRUE(hosts.run_until(
        [&]
        {
            return all_hosts_end_with(hosts, "after");
        }));
    EXPECT_FALSE(hosts.acknowledged("lost"));
    EXPECT_EQ(hosts.violation(), "");
}

TEST(replica, a_frozen_leader_that_wakes_late_refuses_at_once)
{
    cluster hosts(3, seed);
    propose_until_acknowledged(hosts, "before");
    auto& old_leader = *hosts.leader();
    old_leader.frozen = true;
    propose_until_acknowledged(hosts, "meanwhile");
    old_leader.frozen = false;
    EXPECT_FALSE(hosts.read(old_leader));
    EXPECT_FALSE(hosts.propose(old_leader, "late"));
    EXPECT_TRUE(hosts.run_until(
        [&]
        {
            return all_hosts_end_with(hosts, "meanwhile");
        }));
    EXPECT_EQ(hosts.violation(), "");
}

TEST(replica, a_host_that_returns_from_a_cut_deposes_nobody)
{
    cluster hosts(3, seed);
    propose_until_acknowledged(hosts, "before");
    auto& leader = *hosts.leader();
    const auto term = leader.running().core().term();
    auto& follower =
        &leader == &hosts.hosts[0] ? hosts.hosts[1] : hosts.hosts[0];
    hosts.partition({follower.name()});
    hosts.run(std::chrono::seconds(10));
    hosts.heal();
    hosts.run(std::chrono::seconds(3));
    EXPECT_TRUE(leader.leads());
    EXPECT_EQ(leader.running().core().term(), term);
}

TEST(replica, leadership_passes_to_the_chosen_voter)
{
    cluster hosts(3, seed);
    propose_until_acknowledged(hosts, "before");
    auto& leader = *hosts.leader();
    auto& next = &leader == &hosts.hosts[0] ? hosts.hosts[1] : hosts.hosts[0];
    const auto transfer_started = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(leader.running().core().transfer_leadership(
                next.id(), hosts.now));
            return true;
        },
        []
        {
            return false;
        });
    EXPECT_TRUE(transfer_started);
    EXPECT_TRUE(hosts.run_until(
        [&]
        {
            return next.leads() && !leader.leads();
        },
        std::chrono::milliseconds(100)));
    propose_until_acknowledged(hosts, "after");
    EXPECT_EQ(hosts.violation(), "");
}

TEST(replica, a_follower_far_behind_gets_a_snapshot)
{
    cluster hosts(3, seed, {16, 0.0, 4});
    propose_until_acknowledged(hosts, "first");
    auto& leader = *hosts.leader();
    auto& follower =
        &leader == &hosts.hosts[0] ? hosts.hosts[1] : hosts.hosts[0];
    hosts.partition({follower.name()});
    for (int i = 0; i < 100; ++i)
    {
        propose_until_acknowledged(hosts, "item-" + std::to_string(i));
    }
    hosts.heal();
    EXPECT_TRUE(hosts.run_until(
        [&]
        {
            return all_hosts_end_with(hosts, "item-99");
        }));
    EXPECT_GT(follower.running().snapshot_index(), 1U);
    EXPECT_EQ(hosts.violation(), "");
}

// Restarts all hosts at once after many changes. `snapshots`: whether a
// snapshot covers most of them, so that few entries are replayed.
void restart_after_many_changes(const snapshot_policy& policy, bool snapshots)
{
    cluster hosts(3, seed, policy);
    propose_until_acknowledged(hosts, "first");
    for (int i = 0; i < 1000; ++i)
    {
        hosts.propose(*hosts.leader(), "item-" + std::to_string(i));
    }
    ASSERT_TRUE(hosts.run_until(
        [&]
        {
            return hosts.acknowledged("item-999");
        }));
    for (auto& each : hosts.hosts)
    {
        each.crash();
    }
    for (auto& each : hosts.hosts)
    {
        ASSERT_TRUE(each.start());
    }
    propose_until_acknowledged(hosts, "last");
    auto& leader = *hosts.leader();
    EXPECT_TRUE(hosts.holds_all_acknowledged(leader));
    EXPECT_EQ(leader.running().snapshot_index() > 900, snapshots);
    EXPECT_EQ(hosts.violation(), "");
}

// After a power loss, hosts restart one after the other. If they waited a full
// election timeout for a leader, no daemon would have a configuration
// meanwhile.
TEST(replica, hosts_that_start_again_elect_soon)
{
    using namespace std::chrono_literals;
    duration max_election_time{0};
    for (std::uint64_t seed_offset = 0; seed_offset < 20; ++seed_offset)
    {
        cluster hosts(5, seed + seed_offset);
        propose_until_acknowledged(hosts, "first");
        for (auto& each : hosts.hosts)
        {
            each.crash();
        }
        for (std::size_t at = 0; at < 5; ++at)
        {
            ASSERT_TRUE(hosts.hosts[at].start());
            hosts.run(at < 2 ? 120ms : 0ms);
        }
        const auto majority_up_at = hosts.now;
        const auto has_leader = [&]
        {
            return hosts.leader() != nullptr;
        };
        ASSERT_TRUE(hosts.run_until(has_leader));
        max_election_time =
            std::max(max_election_time, hosts.now - majority_up_at);
        EXPECT_EQ(hosts.violation(), "");
    }
    EXPECT_LT(max_election_time, 300ms);
}

TEST(replica, a_thousand_changes_outlive_a_restart_without_snapshot)
{
    restart_after_many_changes({100'000, 0.0, 1024}, false);
}

TEST(replica, a_thousand_changes_outlive_a_restart_with_snapshots)
{
    restart_after_many_changes({50, 0.0, 20}, true);
}

TEST(replica, a_second_host_lost_just_after_a_repair_loses_nothing)
{
    cluster hosts(3, seed);
    for (int i = 0; i < 50; ++i)
    {
        propose_until_acknowledged(hosts, "item-" + std::to_string(i));
    }
    auto* lost =
        hosts.leader() == &hosts.hosts[0] ? &hosts.hosts[1] : &hosts.hosts[0];
    lost->replace_disk();
    ASSERT_TRUE(lost->start());
    ASSERT_TRUE(hosts.run_until(
        [&]
        {
            auto* leader = hosts.leader();
            return leader != nullptr && hosts.repair(*leader);
        }));
    hosts.leader()->replace_disk();
    propose_until_acknowledged(hosts, "after");
    EXPECT_TRUE(hosts.holds_all_acknowledged(*hosts.leader()));
    EXPECT_EQ(hosts.violation(), "");
}

TEST(replica, a_full_disk_stops_the_leader_and_another_one_accepts)
{
    cluster hosts(3, seed);
    propose_until_acknowledged(hosts, "before");
    auto& full_host = *hosts.leader();
    full_host.disk.set_capacity(0);
    hosts.propose(full_host, "on the full disk");
    EXPECT_FALSE(full_host.up());
    propose_until_acknowledged(hosts, "after");
    full_host.disk.set_capacity(std::nullopt);
    ASSERT_TRUE(full_host.start());
    EXPECT_TRUE(hosts.run_until(
        [&]
        {
            return all_hosts_end_with(hosts, "after");
        }));
    EXPECT_EQ(hosts.violation(), "");
}

TEST(replica, an_emptied_folder_has_no_vote)
{
    cluster hosts(3, seed);
    propose_until_acknowledged(hosts, "kept");
    // One host that holds the item and two with empty disks: there is no
    // majority, so nothing may be accepted.
    auto& survivor = *hosts.leader();
    for (auto& each : hosts.hosts)
    {
        if (&each != &survivor)
        {
            each.replace_disk();
            ASSERT_TRUE(each.start());
        }
    }
    hosts.run(std::chrono::seconds(20));
    EXPECT_EQ(hosts.leader(), nullptr);
    EXPECT_FALSE(hosts.propose(survivor, "refused"));
}

} // namespace
} // namespace nutmegusher::control_test
