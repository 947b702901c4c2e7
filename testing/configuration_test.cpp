// An accepted configuration must come into force everywhere and never revert.
#include "testing/process_test_fixture.hpp"

#include <atomic>
#include <thread>

namespace nutmegusher::test_support
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class configuration : public process_test
{
protected:
    void SetUp() override
    {
        deployment_options options;
        options.relay_to_control = true;
        options.upstreams.assign(3, {"balances"});
        start(options, association_classes(), {offered_view(1)});
    }

    void TearDown() override
    {
        stop_watch();
        process_test::TearDown();
    }

    // Sets the view class's target, based on the last known revision.
    change_answer set_view_target(std::uint32_t latency_ms)
    {
        const auto id = "change-" + std::to_string(++changes);
        const auto change =
            target_change(id, view_revision, "view", latency_ms);
        const auto answer = settle_change(reachable, change);
        if (answer.outcome == change_outcome::accepted)
        {
            view_revision = answer.revision;
        }
        return answer;
    }

    // Reads the view class's revision from a conflict.
    void read_view_revision()
    {
        const auto conflict = settle_change(
            cluster->all_control_operators(),
            target_change("learn", wrong_revision, "view", 1));
        ASSERT_EQ(conflict.outcome, change_outcome::conflict);
        view_revision = conflict.revision;
        reachable = cluster->all_control_operators();
    }

    [[nodiscard]] bool in_force_everywhere(std::uint32_t latency_ms) const
    {
        for (std::size_t i = 0; i < cluster->daemon_count(); ++i)
        {
            const auto in_force = [&]
            {
                const auto now = configuration_of(cluster->daemon_operators(i));
                return now && now->targets.count("view") > 0 &&
                       now->targets.at("view") == latency_ms;
            };
            if (!wait_until(in_force))
            {
                return false;
            }
        }
        return true;
    }

    // Starts to poll each daemon and to count reversions to earlier revisions.
    // A starting daemon reports revision 0, which doesn't count.
    void start_watch()
    {
        watching = true;
        watcher = std::thread(
            [this]
            {
                watch();
            });
    }

    void stop_watch()
    {
        watching = false;
        if (watcher.joinable())
        {
            watcher.join();
        }
    }

    void watch()
    {
        std::vector<std::uint64_t> highest(cluster->daemon_count(), 0);
        while (watching)
        {
            for (std::size_t i = 0; i < highest.size(); ++i)
            {
                const auto now = configuration_of(
                    cluster->daemon_operators(i), milliseconds(300));
                if (now && now->revision > 0)
                {
                    reversions += now->revision < highest[i] ? 1 : 0;
                    highest[i] = std::max(highest[i], now->revision);
                }
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    static constexpr std::uint64_t wrong_revision = 999'999;
    std::vector<std::string> reachable;
    std::uint64_t view_revision = 0;
    std::uint32_t changes = 0;
    std::atomic<bool> watching = false;
    std::atomic<std::uint32_t> reversions = 0;
    std::thread watcher;
};

TEST_F(configuration, accepted_change_is_in_force_everywhere)
{
    read_view_revision();
    ASSERT_EQ(set_view_target(1111).outcome, change_outcome::accepted);
    EXPECT_TRUE(in_force_everywhere(1111)) << cluster->logs();
}

TEST_F(configuration, survives_the_kill_of_everything)
{
    read_view_revision();
    ASSERT_EQ(set_view_target(1234).outcome, change_outcome::accepted);
    start_watch();
    for (std::size_t i = 0; i < cluster->control_count(); ++i)
    {
        cluster->control(i).kill();
    }
    for (std::size_t i = 0; i < cluster->daemon_count(); ++i)
    {
        cluster->daemon(i).kill();
    }
    for (std::size_t i = 0; i < cluster->control_count(); ++i)
    {
        ASSERT_TRUE(cluster->restart_control(i));
    }
    for (std::size_t i = 0; i < cluster->daemon_count(); ++i)
    {
        ASSERT_TRUE(cluster->restart_daemon(i));
    }
    EXPECT_TRUE(in_force_everywhere(1234)) << cluster->logs();
    ASSERT_EQ(set_view_target(1235).outcome, change_outcome::accepted);
    EXPECT_TRUE(in_force_everywhere(1235)) << cluster->logs();
    EXPECT_EQ(reversions, 0U);
}

TEST_F(configuration, restart_after_hundreds_of_changes)
{
    read_view_revision();
    constexpr std::uint32_t change_count = 300;
    for (std::uint32_t i = 1; i <= change_count; ++i)
    {
        ASSERT_EQ(set_view_target(1000 + i).outcome, change_outcome::accepted);
    }
    for (std::size_t i = 0; i < cluster->control_count(); ++i)
    {
        cluster->control(i).kill();
        ASSERT_TRUE(cluster->restart_control(i));
    }
    cluster->daemon(0).kill();
    ASSERT_TRUE(cluster->restart_daemon(0));
    EXPECT_TRUE(in_force_everywhere(1000 + change_count)) << cluster->logs();
}

TEST_F(configuration, of_racing_operators_one_wins)
{
    read_view_revision();
    constexpr std::uint32_t operators = 6;
    constexpr std::uint32_t rounds = 5;
    for (std::uint32_t round = 0; round < rounds; ++round)
    {
        std::vector<std::future<change_answer>> racing;
        for (std::uint32_t i = 0; i < operators; ++i)
        {
            const auto id =
                "race-" + std::to_string(round) + "-" + std::to_string(i);
            racing.push_back(std::async(
                std::launch::async,
                [this, id, round, i]
                {
                    const auto change = target_change(
                        id, view_revision, "view", 2000 + 10 * round + i);
                    auto hosts = cluster->all_control_operators();
                    std::rotate(
                        hosts.begin(),
                        hosts.begin() + i % hosts.size(),
                        hosts.end());
                    return settle_change(hosts, change);
                }));
        }
        std::uint32_t accepted = 0;
        std::uint32_t conflicts = 0;
        std::uint64_t winner = 0;
        for (auto& each : racing)
        {
            const auto answer = each.get();
            accepted += answer.outcome == change_outcome::accepted ? 1 : 0;
            conflicts += answer.outcome == change_outcome::conflict ? 1 : 0;
            winner = std::max(winner, answer.revision);
        }
        EXPECT_EQ(accepted, 1U);
        EXPECT_EQ(conflicts, operators - 1);
        view_revision = winner;
    }
}

TEST_F(configuration, resend_after_a_lost_answer_gets_the_first_answer)
{
    read_view_revision();
    const auto change = target_change("once", view_revision, "view", 1500);
    const auto first = settle_change(reachable, change);
    ASSERT_EQ(first.outcome, change_outcome::accepted);
    for (std::size_t i = 0; i < cluster->control_count(); ++i)
    {
        cluster->control(i).kill();
        ASSERT_TRUE(cluster->restart_control(i));
        const auto again =
            settle_change({cluster->control_operators(i)}, change);
        EXPECT_EQ(again.outcome, change_outcome::accepted);
        EXPECT_EQ(again.revision, first.revision);
    }
    // The same id with different content must not be accepted.
    const auto other = settle_change(
        reachable, target_change("once", view_revision, "view", 1501));
    EXPECT_NE(other.outcome, change_outcome::accepted);
    EXPECT_TRUE(in_force_everywhere(1500));
}

TEST_F(configuration, isolated_control_host_accepts_nothing)
{
    read_view_revision();
    start_watch();
    for (std::size_t i = 0; i < cluster->control_count(); ++i)
    {
        cluster->isolate_control(i, true);
        reachable = cluster->all_control_operators();
        const auto isolated = reachable[i];
        reachable.erase(reachable.begin() + static_cast<std::ptrdiff_t>(i));
        const auto latency = 1600 + static_cast<std::uint32_t>(i);
        ASSERT_EQ(set_view_target(latency).outcome, change_outcome::accepted)
            << cluster->logs();
        EXPECT_TRUE(in_force_everywhere(latency)) << cluster->logs();
        const auto isolated_answer = send_change(
            isolated,
            target_change(
                "lonely-" + std::to_string(i), view_revision, "view", 9000),
            seconds(8));
        EXPECT_NE(isolated_answer.outcome, change_outcome::accepted);
        cluster->isolate_control(i, false);
    }
    EXPECT_TRUE(in_force_everywhere(1602));
    EXPECT_EQ(reversions, 0U);
}

TEST_F(configuration, control_host_without_a_leader_holds_no_daemon_back)
{
    read_view_revision();
    start_watch();
    for (std::size_t i = 0; i < cluster->control_count(); ++i)
    {
        cluster->partition_control(i, true);
        reachable = cluster->all_control_operators();
        reachable.erase(reachable.begin() + static_cast<std::ptrdiff_t>(i));
        const auto latency = 1800 + static_cast<std::uint32_t>(i);
        ASSERT_EQ(set_view_target(latency).outcome, change_outcome::accepted)
            << cluster->logs();
        EXPECT_TRUE(in_force_everywhere(latency)) << cluster->logs();
        cluster->partition_control(i, false);
    }
    EXPECT_TRUE(in_force_everywhere(1802));
    EXPECT_EQ(reversions, 0U);
}

TEST_F(configuration, frozen_leader_wakes_late_and_reverts_nothing)
{
    read_view_revision();
    start_watch();
    for (std::size_t i = 0; i < cluster->control_count(); ++i)
    {
        cluster->control(i).freeze();
        reachable = cluster->all_control_operators();
        reachable.erase(reachable.begin() + static_cast<std::ptrdiff_t>(i));
        const auto latency = 1700 + static_cast<std::uint32_t>(i);
        ASSERT_EQ(set_view_target(latency).outcome, change_outcome::accepted);
        EXPECT_TRUE(in_force_everywhere(latency)) << cluster->logs();
        cluster->control(i).thaw();
    }
    EXPECT_TRUE(in_force_everywhere(1702));
    EXPECT_EQ(reversions, 0U);
}

TEST_F(configuration, majority_lost_accepts_nothing_and_daemons_serve_on)
{
    read_view_revision();
    cluster->control(0).kill();
    cluster->control(1).kill();
    const auto change = target_change("minority", view_revision, "view", 9100);
    const auto lost =
        send_change(cluster->control_operators(2), change, seconds(8));
    EXPECT_NE(lost.outcome, change_outcome::accepted);
    expect_completed(run_load(load({offered_view(50)}, 1)), 0.99);
    ASSERT_TRUE(cluster->restart_control(0));
    // The change wasn't refused either, so the operator may resend it.
    const auto again = settle_change(cluster->all_control_operators(), change);
    ASSERT_EQ(again.outcome, change_outcome::accepted);
    EXPECT_TRUE(in_force_everywhere(9100)) << cluster->logs();
}

TEST_F(configuration, daemon_that_starts_without_control_serves_nothing_old)
{
    read_view_revision();
    for (std::size_t i = 0; i < cluster->control_count(); ++i)
    {
        cluster->control(i).kill();
    }
    cluster->daemon(0).kill();
    ASSERT_TRUE(cluster->restart_daemon(0));
    ASSERT_TRUE(wait_until(
        [&]
        {
            return configuration_of(cluster->daemon_operators(0)).has_value();
        }));
    auto options = load({offered_view(1)}, 1);
    options.daemons = {cluster->daemon_callers(0)};
    options.max_tries = 1;
    const auto record = run_one(options);
    EXPECT_EQ(record.outcome, caller_outcome::not_run);
    EXPECT_EQ(record.reason, "starting");
}

} // namespace
} // namespace nutmegusher::test_support
