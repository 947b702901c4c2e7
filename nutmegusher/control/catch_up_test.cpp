// A control host whose disk was lost came back and never caught up. The leader
// sent it all that it lacked at once, as a follower might have 4,096 entries on
// the way, of whatever size. On a line of 86 Mbit/s ten megabytes took longer
// than a batch may; the batch was dropped whole and sent again after ten
// seconds, then after twenty. Between two floods one probe got through, with
// two entries:
//
//     34.72 s  control_change_accepted revision=2
//     45.35 s  control_change_accepted revision=3
//     46.33 s  control_change_accepted revision=5   (the others: revision=92)
//
// and while 5.9 MB/s arrived there, memory stayed at 11 MB. It remained a
// learner for the rest of the day, so its old identity kept counting as a
// voter. The second loss made two of five, and after the next one no majority
// was left: "no leader", and nobody was served.
#include "nutmegusher/control/test_cluster.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace nutmegusher::control_test
{
namespace
{

using std::chrono::seconds;

// A document of 300 routes with the operator's own bytes.
constexpr std::size_t document_bytes = 165'000;
constexpr std::size_t documents = 120;
// 86 Mbit/s, of which daemons take a half.
constexpr double link_bytes_per_second = 5'400'000;
// What an operator may expect of a repair: above the time that the log's bytes
// take on the line, far below the time between two losses.
constexpr seconds repair_limit{10};

// With the snapshots that are usual, and with none: then each document is sent.
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

    // Until nothing is left to repair; false at the limit.
    bool repaired(duration limit)
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
    install(documents);
    hosts.link = network_link{link_bytes_per_second};
    wipe_disk(0);
    EXPECT_TRUE(repaired(repair_limit));
    EXPECT_EQ(hosts.violation(), "");
}

// The others go on changing the configuration meanwhile.
TEST_P(wiped_host, votes_again_soon_while_documents_follow)
{
    install(documents);
    hosts.link = network_link{link_bytes_per_second};
    wipe_disk(0);
    for (int change = 0; change < 20; ++change)
    {
        install(1);
        static_cast<void>(repaired(std::chrono::milliseconds(200)));
    }
    EXPECT_TRUE(repaired(repair_limit));
    EXPECT_EQ(hosts.violation(), "");
}

// Two disks are lost one after the other, with time for a repair between them,
// then all lose power and two of those that are left their disks as well.
TEST_P(wiped_host, a_majority_outlives_two_more_losses_after_two_repairs)
{
    install(documents);
    hosts.link = network_link{link_bytes_per_second};
    for (const std::size_t lost : {0, 1})
    {
        wipe_disk(lost);
        static_cast<void>(repaired(repair_limit));
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
