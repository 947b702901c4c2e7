#include "nutmegusher/membership/membership.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

const time_point start(hours(1));

messages::sync_request make_sync(
    const std::string& host,
    const std::string& service,
    std::uint64_t incarnation = 1,
    std::uint64_t version = 1)
{
    messages::sync_request out;
    out.set_host(host);
    out.set_incarnation(incarnation);
    out.set_configuration_revision(7);
    if (!service.empty())
    {
        auto& own = *out.mutable_own();
        own.set_host(host);
        own.set_incarnation(incarnation);
        own.set_version(version);
        own.set_service(service);
        own.set_state(messages::upstream_serving);
    }
    return out;
}

class lease_registry_test : public ::testing::Test
{
protected:
    // The request that a daemon sends after its last reply.
    messages::sync_request next_request() const
    {
        messages::sync_request out;
        out.add_services("balances");
        out.set_known_stamp(last.stamp());
        out.set_registry_epoch(last.registry_epoch());
        return out;
    }

    messages::sync_reply next_reply()
    {
        const auto request = next_request();
        last.Clear();
        registry.answer(request, last);
        return last;
    }

    void settle()
    {
        registry.expire(start + seconds(6));
        next_reply();
    }

    lease_registry registry{host_id("c1"), 77, start};
    messages::sync_reply last;
};

TEST_F(lease_registry_test, answers_only_what_changed_for_the_service)
{
    settle();
    registry.renew(start + seconds(6), make_sync("a", "balances"));
    next_reply();
    registry.renew(start + seconds(8), make_sync("a", "balances"));
    registry.renew(start + seconds(6), make_sync("x", "statements"));
    EXPECT_FALSE(registry.has_news(next_request()));
    registry.renew(start + seconds(6), make_sync("b", "balances"));
    EXPECT_TRUE(registry.has_news(next_request()));
    const auto reply = next_reply();
    ASSERT_EQ(reply.upstreams_size(), 1);
    EXPECT_EQ(reply.upstreams(0).host(), "b");
    EXPECT_FALSE(reply.upstreams_complete());
    EXPECT_FALSE(registry.has_news(next_request()));
}

TEST_F(lease_registry_test, first_answer_is_complete_once_settled)
{
    EXPECT_FALSE(next_reply().upstreams_complete());
    settle();
    EXPECT_TRUE(last.upstreams_complete());
    registry.renew(start + seconds(6), make_sync("a", "balances"));
    last.set_registry_epoch(5);
    EXPECT_TRUE(next_reply().upstreams_complete());
}

TEST_F(lease_registry_test, lease_ends_after_the_missed_renewals)
{
    settle();
    const auto at = start + seconds(10);
    registry.renew(at, make_sync("a", "balances"));
    next_reply();
    registry.expire(at + seconds(5));
    EXPECT_FALSE(registry.has_news(next_request()));
    registry.expire(at + seconds(6));
    const auto reply = next_reply();
    ASSERT_EQ(reply.lost_hosts_size(), 1);
    EXPECT_EQ(reply.lost_hosts(0), "a");
    EXPECT_EQ(registry.counts().leases, 0U);
}

TEST_F(lease_registry_test, higher_incarnation_wins_over_a_higher_version)
{
    settle();
    registry.renew(start, make_sync("a", "balances", 1, 90));
    EXPECT_EQ(
        registry.renew(start, make_sync("a", "balances", 2, 1)),
        renewal_result::accepted);
    EXPECT_EQ(
        registry.renew(start, make_sync("a", "balances", 1, 91)),
        renewal_result::stale_incarnation);
    const auto reply = next_reply();
    ASSERT_EQ(reply.upstreams_size(), 1);
    EXPECT_EQ(reply.upstreams(0).incarnation(), 2U);
}

TEST_F(
    lease_registry_test,
    upstream_that_withdraws_or_moves_is_lost_to_the_service)
{
    settle();
    registry.renew(start, make_sync("a", "balances"));
    registry.renew(start, make_sync("b", "balances"));
    next_reply();
    registry.renew(start, make_sync("a", ""));
    registry.renew(start, make_sync("b", "statements", 1, 2));
    EXPECT_EQ(next_reply().lost_hosts_size(), 2);
}

TEST_F(
    lease_registry_test, reader_older_than_the_tombstones_gets_a_complete_list)
{
    settle();
    registry.renew(start, make_sync("a", "balances"));
    next_reply();
    registry.expire(start + seconds(10));
    registry.expire(start + minutes(30));
    registry.expire(start + minutes(60));
    const auto reply = next_reply();
    EXPECT_TRUE(reply.upstreams_complete());
    EXPECT_EQ(reply.upstreams_size(), 0);
}

TEST_F(lease_registry_test, counts_follow_every_change)
{
    registry.renew(start, make_sync("a", "balances"));
    registry.renew(start, make_sync("b", "balances"));
    registry.renew(start, make_sync("c", ""));
    EXPECT_EQ(registry.counts().owned, 3U);
    EXPECT_EQ(registry.counts().upstreams, 2U);
    registry.renew(start + seconds(3), make_sync("a", "statements", 1, 2));
    registry.renew(start + seconds(3), make_sync("c", "statements", 1, 1));
    EXPECT_EQ(registry.counts().upstreams, 3U);
    registry.expire(start + seconds(6));
    EXPECT_EQ(registry.counts().leases, 2U);
    EXPECT_EQ(registry.counts().owned, 2U);
    EXPECT_EQ(registry.counts().upstreams, 2U);
    registry.expire(start + seconds(9));
    EXPECT_EQ(registry.counts().owned, 0U);
    EXPECT_EQ(registry.counts().upstreams, 0U);
}

TEST_F(lease_registry_test, rollout_counts_revisions_and_names_those_that_lag)
{
    for (int number = 0; number < 40; ++number)
    {
        auto request = make_sync("d" + std::to_string(number), "balances");
        request.set_configuration_revision(number < 3 ? 6 : 7);
        registry.renew(start, request);
    }
    const auto rollout = registry.rollout();
    EXPECT_EQ(rollout.daemons(), 40U);
    EXPECT_EQ(rollout.daemons_at(revision(7)), 37U);
    ASSERT_EQ(rollout.lagging(revision(7)).size(), 3U);
    EXPECT_EQ(rollout.lagging(revision(7))[0].running_revision, revision(6));
}

TEST(rollout_tally, merging_revisions_never_overstates_progress)
{
    rollout_tally many;
    for (std::uint64_t running_revision = 1; running_revision <= 100;
         ++running_revision)
    {
        many.add("d" + std::to_string(running_revision), running_revision);
    }
    rollout_tally sum;
    sum.add(many.summary());
    EXPECT_EQ(sum.daemons(), 100U);
    EXPECT_LE(sum.daemons_at(revision(100)), 1U);
    EXPECT_EQ(sum.daemons_at(revision(33)), 0U);
    EXPECT_EQ(sum.lagging(revision(100)).size(), rollout_tally::max_lagging);
    EXPECT_EQ(sum.lagging(revision(100))[0].running_revision, revision(1));
}

// The host's clock was set back before its daemon restarted, so the new run has
// a lower incarnation than the known one.
TEST_F(lease_registry_test, earlier_incarnation_is_told_the_known_one)
{
    EXPECT_EQ(registry.known_incarnation("a"), 0U);
    registry.renew(start, make_sync("a", "balances", 9));
    EXPECT_EQ(
        registry.renew(start + seconds(1), make_sync("a", "balances", 5)),
        renewal_result::stale_incarnation);
    EXPECT_EQ(registry.known_incarnation("a"), 9U);
    EXPECT_EQ(
        registry.renew(start + seconds(1), make_sync("a", "balances", 10)),
        renewal_result::accepted);
}

} // namespace
} // namespace nutmegusher
