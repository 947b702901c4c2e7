// Several control hosts that exchange the leases of their daemons.
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

messages::sync_request make_sync(const std::string& host)
{
    messages::sync_request out;
    out.set_host(host);
    out.set_incarnation(1);
    auto& own = *out.mutable_own();
    own.set_host(host);
    own.set_incarnation(1);
    own.set_version(1);
    own.set_service("balances");
    return out;
}

// Fetches the changes at `from` that `to` lacks, and applies them.
void pull(
    lease_registry& to,
    const lease_registry& from,
    const host_id& name,
    time_point now)
{
    to.apply(now, name, from.update(now, to.exchange(name)));
}

class registry_exchange_test : public ::testing::Test
{
protected:
    const host_id one_id{"c1"};
    const host_id two_id{"c2"};
    const host_id three_id{"c3"};
    lease_options options{.other_control_hosts = 2};
    lease_registry one{one_id, 1, start, options};
    lease_registry two{two_id, 2, start, options};
    lease_registry three{three_id, 3, start, options};
};

TEST_F(
    registry_exchange_test,
    lease_is_known_at_the_others_until_its_owner_ends_it)
{
    one.renew(start, make_sync("a"));
    pull(two, one, one_id, start);
    EXPECT_EQ(two.counts().upstreams, 1U);
    two.expire(start + minutes(5));
    EXPECT_EQ(two.counts().upstreams, 1U);
    one.expire(start + seconds(6));
    pull(two, one, one_id, start + minutes(5));
    EXPECT_EQ(two.counts().upstreams, 0U);
}

TEST_F(registry_exchange_test, only_changes_are_exchanged)
{
    one.renew(start, make_sync("a"));
    pull(two, one, one_id, start);
    one.renew(start + seconds(2), make_sync("a"));
    EXPECT_EQ(one.update(start, two.exchange(one_id)).leases_size(), 0);
    one.renew(start + seconds(2), make_sync("b"));
    EXPECT_EQ(one.update(start, two.exchange(one_id)).leases_size(), 1);
}

// Two nearly simultaneous claims of a daemon: control host 3 sees the claim of
// 1 as the later one, while 1, which receives the claim of 2 with a delay, sees
// that of 2 as the later one. When 1 ends its lease the daemon still renews at
// 2, which sends no further update for it, so 3 could lose a live daemon.
TEST_F(registry_exchange_test, reordered_claims_do_not_lose_a_daemon)
{
    using std::chrono::milliseconds;
    const auto renewed = start + milliseconds(10);
    two.renew(start, make_sync("a"));
    one.renew(renewed, make_sync("a"));
    pull(three, one, one_id, renewed);
    pull(three, two, two_id, renewed);
    const auto delayed_update = two.update(renewed, one.exchange(two_id));
    one.apply(renewed + milliseconds(20), two_id, delayed_update);
    for (int second = 1; second < 20; ++second)
    {
        const auto now = start + seconds(second);
        two.renew(now, make_sync("a"));
        one.expire(now);
        pull(one, two, two_id, now);
        pull(three, one, one_id, now);
        pull(three, two, two_id, now);
        three.expire(now);
        ASSERT_EQ(three.counts().upstreams, 1U) << second;
    }
    two.expire(start + seconds(40));
    pull(three, two, two_id, start + seconds(40));
    EXPECT_EQ(three.counts().upstreams, 0U)
        << "the lease remains after its last owner ended it";
}

// A daemon renews at two control hosts at the same moment and then at one of
// them only. The other one keeps its own lease and receives no further update,
// so when that lease expires it could lose a live daemon.
TEST_F(registry_exchange_test, expired_lease_falls_back_to_the_other_owner)
{
    two.renew(start, make_sync("a"));
    one.renew(start, make_sync("a"));
    pull(two, one, one_id, start);
    for (int second = 1; second < 20; ++second)
    {
        const auto now = start + seconds(second);
        one.renew(now, make_sync("a"));
        two.expire(now);
        pull(two, one, one_id, now);
        ASSERT_EQ(two.counts().upstreams, 1U) << second;
    }
    one.expire(start + seconds(40));
    pull(two, one, one_id, start + seconds(40));
    EXPECT_EQ(two.counts().upstreams, 0U);
}

TEST_F(registry_exchange_test, daemon_that_moves_is_never_lost)
{
    one.renew(start, make_sync("a"));
    pull(two, one, one_id, start);
    pull(three, one, one_id, start);
    for (int second = 1; second < 30; ++second)
    {
        const auto now = start + seconds(second);
        two.renew(now, make_sync("a"));
        pull(one, two, two_id, now);
        pull(three, one, one_id, now);
        pull(three, two, two_id, now);
        one.expire(now);
        three.expire(now);
        ASSERT_EQ(one.counts().upstreams, 1U);
        ASSERT_EQ(three.counts().upstreams, 1U);
    }
    EXPECT_EQ(one.counts().owned, 0U);
    EXPECT_EQ(two.counts().owned, 1U);
}

TEST_F(registry_exchange_test, previous_owner_delays_the_end_of_a_moved_lease)
{
    one.renew(start, make_sync("a"));
    pull(three, one, one_id, start);
    two.renew(start + seconds(1), make_sync("a"));
    pull(one, two, two_id, start + seconds(1));
    one.expire(start + seconds(1));
    pull(three, one, one_id, start + seconds(1));
    EXPECT_EQ(three.counts().upstreams, 1U);
    // Control host 3 stays partitioned from the new owner, and the lease of the
    // previous owner has ended.
    one.expire(start + seconds(7));
    pull(three, one, one_id, start + seconds(7));
    EXPECT_EQ(three.counts().upstreams, 0U);
}

TEST_F(
    registry_exchange_test, daemon_that_alternates_between_owners_is_not_lost)
{
    one.renew(start, make_sync("a"));
    two.renew(start + seconds(1), make_sync("a"));
    one.renew(start + seconds(2), make_sync("a"));
    pull(three, one, one_id, start + seconds(2));
    pull(three, two, two_id, start + seconds(2));
    two.expire(start + seconds(7));
    one.renew(start + seconds(7), make_sync("a"));
    pull(one, two, two_id, start + seconds(7));
    pull(three, two, two_id, start + seconds(7));
    pull(three, one, one_id, start + seconds(7));
    EXPECT_EQ(three.counts().upstreams, 1U);
}

TEST_F(registry_exchange_test, rollout_includes_daemons_of_other_control_hosts)
{
    one.renew(start, make_sync("a"));
    pull(two, one, one_id, start);
    auto newer_revision = make_sync("a");
    newer_revision.set_configuration_revision(8);
    one.renew(start + seconds(1), newer_revision);
    two.renew(start + seconds(1), make_sync("b"));
    pull(two, one, one_id, start + seconds(1));
    EXPECT_EQ(two.rollout().daemons(), 2U);
    EXPECT_EQ(two.rollout().daemons_at(revision(8)), 1U);
}

TEST_F(registry_exchange_test, leases_of_a_silent_control_host_last_for_hours)
{
    one.renew(start, make_sync("a"));
    pull(two, one, one_id, start);
    two.expire(start + hours(1));
    EXPECT_EQ(two.counts().upstreams, 1U);
    two.expire(start + hours(3));
    EXPECT_EQ(two.counts().upstreams, 0U);
    one.renew(start + hours(3), make_sync("a"));
    pull(two, one, one_id, start + hours(3));
    EXPECT_EQ(two.counts().upstreams, 1U);
}

TEST_F(registry_exchange_test, removed_control_host_leaves_time_for_one_renewal)
{
    one.renew(start, make_sync("a"));
    one.renew(start, make_sync("b"));
    pull(two, one, one_id, start);
    two.remove_owner(start + seconds(1), one_id);
    two.renew(start + seconds(5), make_sync("b"));
    two.expire(start + seconds(7));
    EXPECT_EQ(two.counts().upstreams, 1U);
}

TEST_F(registry_exchange_test, restarted_control_host_does_not_empty_the_others)
{
    one.renew(start, make_sync("a"));
    pull(two, one, one_id, start);
    lease_registry restarted(one_id, 11, start + seconds(10), options);
    pull(two, restarted, one_id, start + seconds(10));
    two.expire(start + seconds(15));
    EXPECT_EQ(two.counts().upstreams, 1U);
    restarted.renew(start + seconds(15), make_sync("a"));
    pull(two, restarted, one_id, start + seconds(15));
    two.expire(start + minutes(5));
    EXPECT_EQ(two.counts().upstreams, 1U);
}

TEST_F(registry_exchange_test, restarted_control_host_sends_incomplete_lists)
{
    one.renew(start, make_sync("a"));
    messages::sync_request request;
    request.add_services("balances");

    messages::sync_reply unsettled_reply;
    two.expire(start + seconds(10));
    two.answer(request, unsettled_reply);
    EXPECT_FALSE(unsettled_reply.upstreams_complete());

    one.renew(start + seconds(11), make_sync("a"));
    pull(two, one, one_id, start + seconds(11));
    pull(two, three, three_id, start + seconds(11));
    two.expire(start + seconds(11));
    messages::sync_reply settled_reply;
    two.answer(request, settled_reply);
    EXPECT_TRUE(settled_reply.upstreams_complete());
    EXPECT_EQ(settled_reply.upstreams_size(), 1);
}

} // namespace
} // namespace nutmegusher
