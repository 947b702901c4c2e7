#include "nutmegusher/teams/quota_holder.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

using std::chrono::milliseconds;

const std::string audit = "audit";

class quota_holder_test : public ::testing::Test
{
protected:
    messages::quota_request ask()
    {
        return holder.make_request(incarnation(1), clock.now());
    }

    // Answers the request in flight.
    bool answer(
        const messages::quota_request& request,
        std::uint32_t granted,
        std::uint32_t retry_after_ms = 0)
    {
        messages::quota_reply reply;
        reply.set_accepted(true);
        reply.set_term(term);
        reply.set_sequence(request.sequence());
        for (const auto& holding : request.holdings())
        {
            auto& grant = *reply.add_grants();
            grant.set_team(holding.team());
            grant.set_granted(granted);
            grant.set_kept(holding.held());
            grant.set_retry_after_ms(retry_after_ms);
            grant.set_ask_after_ms(retry_after_ms > 0 ? 100 : 0);
        }
        return holder.on_reply(reply, clock.now());
    }

    token_state arrive()
    {
        return holder.arrive(audit, clock.now()).state;
    }

    // Gets tokens by one exchange.
    void fill(std::uint32_t tokens)
    {
        ASSERT_EQ(arrive(), token_state::pending);
        ASSERT_TRUE(answer(ask(), tokens));
        holder.leave(audit);
    }

    manual_clock clock;
    quota_holder holder{host_id("a")};
    std::uint64_t term = 1;
};

TEST_F(quota_holder_test, asks_at_once_for_a_request_that_waits)
{
    EXPECT_FALSE(holder.next_exchange(clock.now()));
    EXPECT_EQ(arrive(), token_state::pending);
    ASSERT_TRUE(holder.next_exchange(clock.now()));
    EXPECT_LE(*holder.next_exchange(clock.now()), clock.now());
    const auto request = ask();
    EXPECT_EQ(request.holdings(0).waiting(), 1);
    EXPECT_FALSE(holder.next_exchange(clock.now()));
    EXPECT_TRUE(answer(request, 1));
    EXPECT_EQ(holder.poll(audit, clock.now()).state, token_state::taken);
    EXPECT_EQ(arrive(), token_state::pending);
}

TEST_F(quota_holder_test, serves_from_its_stock)
{
    fill(3);
    EXPECT_EQ(arrive(), token_state::taken);
    EXPECT_EQ(arrive(), token_state::taken);
    const auto request = ask();
    EXPECT_EQ(request.holdings(0).used(), 2);
    EXPECT_EQ(request.holdings(0).held(), 1);
    EXPECT_GT(request.holdings(0).stock(), 0);
}

TEST_F(quota_holder_test, refuses_at_once_after_a_refusal)
{
    EXPECT_EQ(arrive(), token_state::pending);
    EXPECT_TRUE(answer(ask(), 0, 250));
    const auto refused = holder.poll(audit, clock.now());
    EXPECT_EQ(refused.state, token_state::refused);
    EXPECT_EQ(refused.retry_after, milliseconds(250));
    holder.leave(audit);
    EXPECT_EQ(arrive(), token_state::refused);
    clock.advance(milliseconds(100));
    EXPECT_EQ(arrive(), token_state::pending);
}

TEST_F(quota_holder_test, tokens_end_without_an_owner)
{
    fill(3);
    clock.advance(quota_times().holding_lifetime - milliseconds(1));
    EXPECT_EQ(arrive(), token_state::taken);
    clock.advance(milliseconds(1));
    EXPECT_EQ(arrive(), token_state::pending);
}

// The time counts from the request, as the owner may have answered at once.
TEST_F(quota_holder_test, a_late_reply_prolongs_less)
{
    EXPECT_EQ(arrive(), token_state::pending);
    const auto request = ask();
    clock.advance(quota_times().holding_lifetime);
    EXPECT_TRUE(answer(request, 3));
    EXPECT_EQ(holder.poll(audit, clock.now()).state, token_state::pending);
}

TEST_F(quota_holder_test, tokens_that_ended_do_not_come_back)
{
    fill(3);
    clock.advance(quota_times().holding_lifetime - milliseconds(10));
    const auto request = ask();
    EXPECT_GT(request.holdings(0).held(), 0);
    clock.advance(milliseconds(20));
    EXPECT_TRUE(answer(request, 0));
    EXPECT_EQ(arrive(), token_state::pending);
}

TEST_F(quota_holder_test, ignores_replies_of_an_earlier_owner)
{
    term = 5;
    fill(1);
    term = 4;
    EXPECT_FALSE(answer(ask(), 10));
    EXPECT_EQ(holder.held(clock.now()), 1);
}

TEST_F(quota_holder_test, ignores_replies_to_earlier_requests)
{
    EXPECT_EQ(arrive(), token_state::pending);
    const auto first = ask();
    holder.on_no_reply();
    const auto second = ask();
    EXPECT_FALSE(answer(first, 10));
    EXPECT_TRUE(answer(second, 1));
    EXPECT_EQ(holder.held(clock.now()), 1);
}

TEST_F(quota_holder_test, reports_again_what_may_not_have_arrived)
{
    fill(3);
    EXPECT_EQ(arrive(), token_state::taken);
    EXPECT_EQ(ask().holdings(0).used(), 1);
    holder.on_no_reply();
    EXPECT_EQ(arrive(), token_state::taken);
    EXPECT_EQ(ask().holdings(0).used(), 2);
}

TEST_F(quota_holder_test, takes_a_token_back_before_it_is_reported)
{
    fill(1);
    EXPECT_EQ(arrive(), token_state::taken);
    holder.refund(audit, clock.now());
    EXPECT_EQ(arrive(), token_state::taken);
}

// The owner may have counted the token as used and handed out another one.
TEST_F(quota_holder_test, takes_no_token_back_that_was_reported)
{
    fill(1);
    EXPECT_EQ(arrive(), token_state::taken);
    ask();
    holder.refund(audit, clock.now());
    holder.on_no_reply();
    holder.refund(audit, clock.now());
    EXPECT_EQ(holder.held(clock.now()), 0);
}

TEST_F(quota_holder_test, gives_everything_back_when_it_stops)
{
    fill(3);
    holder.stop();
    EXPECT_EQ(ask().holdings(0).held(), 0);
}

TEST_F(quota_holder_test, forgets_teams_without_requests)
{
    fill(1);
    EXPECT_EQ(arrive(), token_state::taken);
    clock.advance(std::chrono::seconds(10));
    EXPECT_TRUE(answer(ask(), 0));
    EXPECT_TRUE(answer(ask(), 0));
    EXPECT_EQ(holder.teams(), 0);
    EXPECT_FALSE(holder.next_exchange(clock.now()));
}

} // namespace
} // namespace nutmegusher
