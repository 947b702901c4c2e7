// A control host that lost its disk must catch up and become a voter again.
//
// Data in flight to one follower used to be limited to 4,096 entries of any
// size, so the leader sent such a host everything that it lacked at once. On a
// link of 86 Mbit/s, 10 MB took longer than the time limit of a batch. The
// batch was dropped as a whole and sent again after ten seconds, then after
// twenty; in between, only one probe with two entries arrived. The host
// received 5.9 MB/s but stayed a learner, at revision 5 while the others had
// reached 92, so its old identity kept counting as a voter. After a second loss
// two of five voters were gone, and after the next one there was no majority.
#include "nutmegusher/control/test_cluster.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace nutmegusher::control_test
{
namespace
{

using std::chrono::seconds;

// Size of a document of 300 routes that includes the operator's original text.
constexpr std::size_t document_bytes = 165'000;
constexpr std::size_t document_count = 120;
// 86 Mbit/s, half of which is used by daemons.
constexpr double link_bytes_per_second = 5'400'000;
// Time limit of a repair: longer than the log's bytes take on the link, far
// shorter than the time between two losses.
constexpr seconds repair_limit{10};

// The parameter: with the usual snapshots, or without any, so that each
// document is sent as an entry.
class wiped_host : public testing::TestWithParam<bool>
{
protected:
    wiped_host()
        : hosts(5, 1, policy(GetParam()))
    {
    }

    static snapshot_policy policy(bool with_snapshots)
    {
        snapshot_policy made;
        if (!with_snapshots)
        {
            made.bytes_between = std::numeric_limits<std::uint64_t>::max();
        }
        return made;
    }

    host& leader()
    {
        EXPECT_TRUE(hosts.run_until(
            [this]
            {
                return hosts.leader() != nullptr;
            }));
        return *hosts.leader();
    }

    void install(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            const auto item = "document-" + std::to_string(++installed);
            ASSERT_TRUE(hosts.propose(leader(), item, document_bytes));
            ASSERT_TRUE(hosts.run_until(
                [&]
                {
                    return hosts.acknowledged(item);
                }));
        }
    }

    void wipe_disk(std::size_t number)
    {
        hosts.hosts[number].replace_disk();
        ASSERT_TRUE(hosts.hosts[number].start());
    }

    // Runs repair steps until nothing is left to repair; false if the limit
    // passed.
    bool repair_until_done(duration limit)
    {
        return hosts.run_until(
            [this]
            {
                auto* const current_leader = hosts.leader();
                return current_leader != nullptr &&
                       hosts.repair(*current_leader);
            },
            limit);
    }

    cluster hosts;
    std::size_t installed = 0;
};

TEST_P(wiped_host, votes_again_soon_behind_a_long_log_and_a_slow_line)
{
    install(document_count);
    hosts.link = network_link{link_bytes_per_second};
    wipe_disk(0);
    EXPECT_TRUE(repair_until_done(repair_limit));
    EXPECT_EQ(hosts.violation(), "");
}

// New documents keep arriving during the repair.
TEST_P(wiped_host, votes_again_soon_while_documents_follow)
{
    install(document_count);
    hosts.link = network_link{link_bytes_per_second};
    wipe_disk(0);
    for (int change = 0; change < 20; ++change)
    {
        install(1);
        static_cast<void>(repair_until_done(std::chrono::milliseconds(200)));
    }
    EXPECT_TRUE(repair_until_done(repair_limit));
    EXPECT_EQ(hosts.violation(), "");
}

// Two disks are lost one after the other, with time for a repair after each.
// Then all hosts lose power, and two of the remaining hosts lose their disks as
// well.
TEST_P(wiped_host, a_majority_outlives_two_more_losses_after_two_repairs)
{
    install(document_count);
    hosts.link = network_link{link_bytes_per_second};
    for (const std::size_t lost : {0, 1})
    {
        wipe_disk(lost);
        static_cast<void>(repair_until_done(repair_limit));
    }
    for (auto& each : hosts.hosts)
    {
        each.crash();
    }
    for (const std::size_t lost : {3, 4})
    {
        hosts.hosts[lost].replace_disk();
    }
    for (auto& each : hosts.hosts)
    {
        ASSERT_TRUE(each.start());
    }
    EXPECT_TRUE(hosts.run_until(
        [this]
        {
            return hosts.leader() != nullptr;
        },
        seconds(5)));
    EXPECT_EQ(hosts.violation(), "");
}

INSTANTIATE_TEST_SUITE_P(snapshots, wiped_host, testing::Bool());

} // namespace
} // namespace nutmegusher::control_test
