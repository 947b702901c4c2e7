#include "nutmegusher/teams/quota_owner.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace nutmegusher
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double rate = 100;
constexpr double burst = 50;

// An owner whose predecessor's tokens have ended.
class quota_owner_test : public ::testing::Test
{
protected:
    quota_owner_test()
        : owner(7, clock.now(), quota_bounds())
    {
        set_limit({rate, burst});
        clock.advance(seconds(5));
    }

    void set_limit(const quota& limit)
    {
        const std::vector<team> teams{{"audit", std::nullopt, limit}};
        owner.set_limits(teams, clock.now());
    }

    // Sends one request of the host.
    messages::quota_reply
    ask(const std::string& host,
        std::uint32_t held,
        std::uint32_t used,
        std::uint32_t waiting,
        std::uint32_t stock = 0)
    {
        auto& sequence = sequences[host];
        messages::quota_request request;
        request.set_host(host);
        request.set_incarnation(1);
        request.set_sequence(++sequence);
        request.set_term(term);
        auto& holding = *request.add_holdings();
        holding.set_team("audit");
        holding.set_held(held);
        holding.set_used(used);
        holding.set_waiting(waiting);
        holding.set_stock(stock);
        return owner.answer(request, clock.now());
    }

    std::uint32_t granted(
        const std::string& host,
        std::uint32_t held,
        std::uint32_t used,
        std::uint32_t waiting,
        std::uint32_t stock = 0)
    {
        const auto reply = ask(host, held, used, waiting, stock);
        return reply.grants_size() == 1 ? reply.grants(0).granted() : 0;
    }

    // Uses all tokens of the bucket.
    void empty_bucket()
    {
        EXPECT_EQ(granted("a", 0, 0, 30), 30);
        EXPECT_EQ(granted("a", 0, 30, 20), 20);
        EXPECT_EQ(granted("a", 0, 20, 0), 0);
    }

    [[nodiscard]] double held() const
    {
        return owner.state(clock.now()).front().held;
    }

    manual_clock clock;
    quota_owner owner;
    std::uint64_t term = 7;
    std::map<std::string, std::uint64_t> sequences;
};

TEST_F(quota_owner_test, grants_no_more_than_the_bucket_holds)
{
    empty_bucket();
    EXPECT_EQ(granted("c", 0, 0, 30), 0);
    clock.advance(milliseconds(100));
    EXPECT_EQ(granted("c", 0, 0, 30), 10);
}

TEST_F(quota_owner_test, refused_requests_come_back_at_the_rate)
{
    empty_bucket();
    const auto first = ask("b", 0, 0, 10);
    EXPECT_EQ(first.grants(0).retry_after_ms(), 100);
    const auto second = ask("c", 0, 0, 10);
    EXPECT_EQ(second.grants(0).retry_after_ms(), 200);
}

TEST_F(quota_owner_test, credits_tokens_that_were_not_used)
{
    EXPECT_EQ(granted("a", 0, 0, 0, 30), 30);
    EXPECT_DOUBLE_EQ(held(), 30);
    EXPECT_EQ(granted("a", 10, 5, 0), 0);
    EXPECT_DOUBLE_EQ(held(), 10);
    EXPECT_DOUBLE_EQ(owner.state(clock.now()).front().available, 35);
}

// A reply that is lost leaves the holder without the tokens.
TEST_F(quota_owner_test, credits_tokens_of_a_lost_reply)
{
    EXPECT_EQ(granted("a", 0, 0, 20), 20);
    EXPECT_EQ(granted("a", 0, 0, 20), 20);
    EXPECT_DOUBLE_EQ(held(), 20);
    EXPECT_DOUBLE_EQ(owner.state(clock.now()).front().available, 30);
}

TEST_F(quota_owner_test, bounds_the_tokens_that_are_held)
{
    const quota_bounds bounds;
    const double most = quota_owner::held_share * bounds.excess({rate, burst});
    for (int i = 0; i < 100; ++i)
    {
        granted("h" + std::to_string(i), 0, 0, 0, 5);
        clock.advance(milliseconds(20));
    }
    EXPECT_LE(held(), most);
    EXPECT_GT(held(), most / 2);
}

// More requests wait than tokens may be held at once; the bucket isn't empty.
TEST_F(quota_owner_test, does_not_refuse_requests_that_wait_for_others)
{
    set_limit({rate, 2 * burst});
    clock.advance(seconds(5));
    const auto reply = ask("a", 0, 0, 60);
    const auto first = reply.grants(0).granted();
    EXPECT_LT(first, 60);
    EXPECT_EQ(reply.grants(0).ask_after_ms(), 0);
    EXPECT_EQ(granted("a", 0, first, 60 - first), 60 - first);
}

TEST_F(quota_owner_test, drops_the_tokens_of_a_silent_holder)
{
    EXPECT_EQ(granted("a", 0, 0, 0, 30), 30);
    clock.advance(quota_times().holding_lifetime);
    EXPECT_EQ(granted("b", 0, 0, 1), 1);
    EXPECT_DOUBLE_EQ(held(), 1);
    // The holder comes back with tokens that have ended.
    const auto reply = ask("a", 30, 0, 0);
    EXPECT_EQ(reply.grants(0).kept(), 0);
}

TEST_F(quota_owner_test, refuses_requests_that_were_overtaken)
{
    EXPECT_EQ(granted("a", 0, 0, 5), 5);
    sequences["a"] = 0;
    EXPECT_FALSE(ask("a", 0, 0, 5).accepted());
}

TEST_F(quota_owner_test, refuses_daemons_that_know_a_later_owner)
{
    term = 8;
    EXPECT_FALSE(ask("a", 0, 0, 5).accepted());
}

TEST_F(quota_owner_test, a_changed_document_keeps_the_tokens_of_a_team)
{
    empty_bucket();
    set_limit({rate, burst});
    EXPECT_EQ(granted("b", 0, 0, 50), 0);
}

TEST_F(quota_owner_test, holders_give_back_what_a_lower_limit_forbids)
{
    EXPECT_EQ(granted("a", 0, 0, 0, 30), 30);
    set_limit({1, 1});
    const auto reply = ask("a", 30, 0, 0);
    const quota_bounds bounds;
    EXPECT_LE(
        reply.grants(0).kept(),
        quota_owner::held_share * bounds.excess({1, 1}));
    EXPECT_EQ(granted("b", 0, 0, 10), 0);
}

TEST_F(quota_owner_test, grants_everything_without_a_limit)
{
    set_limit({});
    EXPECT_EQ(granted("a", 0, 0, 1000), 1000);
}

TEST_F(quota_owner_test, refuses_a_team_that_is_gone)
{
    owner.set_limits({}, clock.now());
    EXPECT_EQ(granted("a", 0, 0, 10), 0);
}

// The owner of a term that has just begun.
class new_quota_owner_test : public quota_owner_test
{
protected:
    new_quota_owner_test()
    {
        owner = quota_owner(9, clock.now(), quota_bounds());
        set_limit({rate, burst});
    }
};

TEST_F(new_quota_owner_test, learns_what_a_daemon_brings_along)
{
    const auto first = ask("a", 30, 4, 5);
    EXPECT_TRUE(first.accepted());
    EXPECT_EQ(first.term(), 9);
    EXPECT_EQ(first.grants(0).kept(), 30);
    EXPECT_EQ(first.grants(0).granted(), 0);
    EXPECT_DOUBLE_EQ(held(), 30);
}

TEST_F(new_quota_owner_test, has_no_tokens_while_the_earlier_one_may_act)
{
    ask("a", 0, 0, 0);
    term = 9;
    clock.advance(quota_times().ownership_lifetime);
    EXPECT_EQ(granted("a", 0, 0, 5), 0);
    clock.advance(milliseconds(100));
    EXPECT_EQ(granted("a", 0, 0, 5), 5);
}

// Before all tokens of the earlier owner have ended, stocks stay as large as
// those that are known, and a reserve.
TEST_F(new_quota_owner_test, lets_stocks_grow_only_later)
{
    ask("a", 10, 0, 0);
    term = 9;
    clock.advance(seconds(1));
    const quota_bounds bounds;
    const double reserve =
        quota_owner::reserve_share * bounds.excess({rate, burst});
    ask("a", 10, 0, 0, 100);
    EXPECT_LE(held(), 10 + reserve);
    clock.advance(seconds(2));
    EXPECT_GT(granted("b", 0, 0, 0, 100), 0);
    EXPECT_GT(held(), 10 + reserve);
}

TEST_F(new_quota_owner_test, confirms_before_it_counts_what_was_brought)
{
    ask("a", 30, 0, 0);
    clock.advance(seconds(1));
    // Not confirmed: the daemon may still follow the earlier owner.
    ask("b", 0, 0, 0);
    term = 9;
    const quota_bounds bounds;
    const double reserve =
        quota_owner::reserve_share * bounds.excess({rate, burst});
    EXPECT_LE(held() + granted("b", 0, 0, 100), 30 + reserve);
}

} // namespace
} // namespace nutmegusher
