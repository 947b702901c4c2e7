// Control hosts that find each other through three seeds and maintain their
// number of voters without an operator.
#include "nutmegusher/node/control_test_hosts.hpp"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <functional>

namespace nutmegusher::node
{
namespace
{

// Far above what any step takes; a test that reaches it has failed.
constexpr std::chrono::seconds test_limit{60};
constexpr std::size_t host_count = 5;
constexpr std::size_t seed_count = 3;

class growing_cluster : public testing::Test
{
protected:
    growing_cluster()
    {
        for (std::size_t i = 0; i < host_count; ++i)
        {
            addresses.push_back(free_address());
        }
    }

    void start(std::size_t number, bool bootstrap)
    {
        control_settings settings;
        const auto name = "c" + std::to_string(number);
        settings.data_folder = folder.path() / name;
        settings.self = host_id(name);
        settings.address = addresses[number];
        settings.seeds = {addresses.begin(), addresses.begin() + seed_count};
        settings.claim_groups = 0;
        settings.bootstrap = bootstrap;
        settings.voters = host_count;
        hosts[number] = std::make_unique<running_host>(settings);
    }

    void wipe(std::size_t number)
    {
        hosts[number].reset();
        std::filesystem::remove_all(
            folder.path() / ("c" + std::to_string(number)));
    }

    bool eventually(const std::function<bool()>& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + test_limit;
        while (!condition() && std::chrono::steady_clock::now() < limit)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    // Counts the voters as this host sees them.
    std::size_t voters_at(std::size_t number)
    {
        const auto state = hosts[number]->logs().state();
        std::size_t count = 0;
        for (const auto& group : state.at("groups").as_array())
        {
            if (!group.at("open").as_bool())
            {
                return 0;
            }
            for (const auto& member : group.at("members").as_array())
            {
                count += member.at("voter").as_bool() ? 1 : 0;
            }
        }
        return count;
    }

    bool all_report(std::size_t voters)
    {
        for (std::size_t i = 0; i < host_count; ++i)
        {
            if (hosts[i] && voters_at(i) != voters)
            {
                return false;
            }
        }
        return true;
    }

    messages::change_verdict install(std::size_t at, std::uint64_t version)
    {
        messages::change change;
        change.set_change_id("routes-" + std::to_string(version));
        auto& document = *change.mutable_install_routes();
        document.set_version(version);
        document.set_based_on(version - 1);
        document.set_source("document " + std::to_string(version));
        messages::change_result result;
        eventually(
            [&]
            {
                result =
                    hosts[at]->get(hosts[at]->logs().propose_change(change));
                return result.verdict() != messages::change_unavailable;
            });
        return result.verdict();
    }

    scratch_folder folder;
    std::vector<asio::ip::tcp::endpoint> addresses;
    std::array<std::unique_ptr<running_host>, host_count> hosts;
};

TEST_F(growing_cluster, three_seeds_found_it_and_the_others_become_voters)
{
    // The hosts start in no particular order, and one seed starts late.
    for (const std::size_t number : {4, 1, 3, 0})
    {
        start(number, true);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    EXPECT_EQ(voters_at(0), 0U) << "founded without a seed";
    start(2, true);
    EXPECT_TRUE(eventually(
        [&]
        {
            return all_report(host_count);
        }));
    EXPECT_EQ(install(4, 1), messages::change_accepted);
}

// A seed is killed before the other hosts have started, and restarts with the
// same data folder.
TEST_F(growing_cluster, a_seed_that_restarts_before_the_founding_takes_part)
{
    start(0, true);
    start(1, true);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    EXPECT_EQ(voters_at(1), 0U) << "founded without a seed";
    hosts[0].reset();
    start(2, true);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    EXPECT_EQ(voters_at(1), 0U) << "founded without a seed";
    start(0, true);
    start(3, true);
    start(4, true);
    EXPECT_TRUE(eventually(
        [&]
        {
            return all_report(host_count);
        }));
    EXPECT_EQ(install(0, 1), messages::change_accepted);
}

// A seed is killed right after the founding and restarts without the bootstrap
// setting: it must rejoin the existing cluster.
TEST_F(growing_cluster, a_seed_that_restarts_after_the_founding_founds_no_other)
{
    for (const std::size_t number : {0, 1, 2})
    {
        start(number, true);
    }
    ASSERT_EQ(install(1, 1), messages::change_accepted);
    hosts[0].reset();
    start(0, false);
    start(3, true);
    start(4, true);
    EXPECT_EQ(install(4, 2), messages::change_accepted);
    EXPECT_TRUE(eventually(
        [&]
        {
            return all_report(host_count);
        }));
    EXPECT_TRUE(eventually(
        [&]
        {
            return hosts[0]->logs().present().routes().version() == 2;
        }));
}

// Two hosts lose their disks at once, then the others lose their processes. All
// acknowledged changes must survive, and the group must have five voters again.
TEST_F(growing_cluster, two_wiped_hosts_come_back_as_new_voters)
{
    for (std::size_t i = 0; i < host_count; ++i)
    {
        start(i, true);
    }
    ASSERT_TRUE(eventually(
        [&]
        {
            return all_report(host_count);
        }));
    ASSERT_EQ(install(0, 1), messages::change_accepted);
    wipe(0);
    wipe(3);
    for (const std::size_t number : {1, 2, 4})
    {
        hosts[number].reset();
    }
    for (std::size_t i = 0; i < host_count; ++i)
    {
        start(i, false);
    }
    EXPECT_EQ(install(3, 2), messages::change_accepted);
    EXPECT_TRUE(eventually(
        [&]
        {
            return all_report(host_count);
        }));
    // The applied state may lag by a heartbeat; a confirmed read must not.
    EXPECT_TRUE(hosts[0]->get(hosts[0]->logs().confirm_configuration()));
    EXPECT_EQ(hosts[0]->logs().present().routes().source(), "document 2");
}

// Any two hosts lose their disks, seeds or not. Both must become voters again,
// even if each is the first host that the other asks.
class wiped_pair
    : public growing_cluster,
      public testing::WithParamInterface<std::pair<std::size_t, std::size_t>>
{
};

TEST_P(wiped_pair, votes_again_without_an_operator)
{
    for (std::size_t i = 0; i < host_count; ++i)
    {
        start(i, true);
    }
    ASSERT_TRUE(eventually(
        [&]
        {
            return all_report(host_count);
        }));
    ASSERT_EQ(install(0, 1), messages::change_accepted);
    const auto [first, second] = GetParam();
    wipe(first);
    wipe(second);
    start(first, false);
    start(second, false);
    EXPECT_TRUE(eventually(
        [&]
        {
            return all_report(host_count);
        }));
    EXPECT_EQ(install(second, 2), messages::change_accepted);
}

INSTANTIATE_TEST_SUITE_P(
    each,
    wiped_pair,
    testing::Values(
        std::pair(0, 1),
        std::pair(0, 2),
        std::pair(1, 2),
        std::pair(0, 3),
        std::pair(1, 4),
        std::pair(3, 4)));

} // namespace
} // namespace nutmegusher::node
