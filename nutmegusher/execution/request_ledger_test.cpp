#include "nutmegusher/execution/execution.hpp"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace nutmegusher
{
namespace
{

const request_id some_id("r-1");

request_context context_until(duration after)
{
    return {
        .rank = 2,
        .deadline = time_point(after),
        .customer = customer_id("relief"),
        .work_class = class_name("payout")};
}

TEST(retry_tokens, are_moved_and_never_created)
{
    auto minted = retry_tokens::mint(3);
    auto taken = minted.take(5);
    EXPECT_EQ(taken.count(), 3U);
    EXPECT_EQ(minted.count(), 0U);
    EXPECT_FALSE(minted.spend());
    EXPECT_TRUE(taken.spend());
    minted.put(std::move(taken));
    EXPECT_EQ(minted.count(), 2U);
}

TEST(outstanding_tokens, are_reclaimed_only_once_and_up_to_what_was_sent)
{
    outstanding_tokens outstanding(2);
    EXPECT_EQ(outstanding.reclaim(9).count(), 2U);
    EXPECT_EQ(outstanding.reclaim(2).count(), 0U);
}

TEST(request_ledger, sub_call_inherits_the_terms)
{
    request_ledger ledger;
    auto running = ledger.open(
        some_id, context_until(std::chrono::seconds(5)), retry_tokens::mint(2));
    const auto call = ledger.begin_sub_call(some_id, 1);
    ASSERT_TRUE(call);
    EXPECT_EQ(call->context().rank, 2U);
    EXPECT_EQ(call->context().customer, customer_id("relief"));
    EXPECT_EQ(call->context().deadline, time_point(std::chrono::seconds(5)));
}

TEST(request_ledger, sub_call_of_an_unknown_or_ended_id_is_refused)
{
    request_ledger ledger;
    EXPECT_FALSE(ledger.begin_sub_call(some_id, 1));
    {
        auto running = ledger.open(some_id, {}, retry_tokens::mint(2));
    }
    EXPECT_FALSE(ledger.begin_sub_call(some_id, 1));
    EXPECT_EQ(ledger.size(), 0U);
}

TEST(request_ledger, concurrent_sub_calls_never_get_more_than_there_are)
{
    request_ledger ledger;
    auto running = ledger.open(some_id, {}, retry_tokens::mint(3));
    auto one = ledger.begin_sub_call(some_id, 2);
    auto two = ledger.begin_sub_call(some_id, 2);
    auto three = ledger.begin_sub_call(some_id, 2);
    EXPECT_EQ(one->tokens().count(), 2U);
    EXPECT_EQ(two->tokens().count(), 1U);
    EXPECT_EQ(three->tokens().count(), 0U);
}

TEST(request_ledger, unspent_tokens_go_back_with_the_answer)
{
    request_ledger ledger;
    auto running = ledger.open(some_id, {}, retry_tokens::mint(3));
    {
        auto call = ledger.begin_sub_call(some_id, 3);
        EXPECT_TRUE(call->tokens().spend());
    }
    EXPECT_EQ(running.finish().count(), 2U);
    EXPECT_EQ(running.finish().count(), 0U);
}

TEST(request_ledger, tokens_of_a_sub_call_that_outlives_its_request_are_lost)
{
    request_ledger ledger;
    auto running = ledger.open(some_id, {}, retry_tokens::mint(2));
    {
        auto call = ledger.begin_sub_call(some_id, 1);
        EXPECT_EQ(running.finish().count(), 1U);
    }
    EXPECT_EQ(ledger.available_tokens(), 0U);
}

TEST(request_ledger, recursive_requests_share_tokens_and_the_latest_deadline)
{
    request_ledger ledger;
    auto outer = ledger.open(
        some_id, context_until(std::chrono::seconds(1)), retry_tokens::mint(2));
    auto inner = ledger.open(
        some_id,
        context_until(std::chrono::seconds(2)),
        retry_tokens::received(1));
    EXPECT_EQ(
        ledger.begin_sub_call(some_id, 0)->context().deadline,
        time_point(std::chrono::seconds(2)));
    EXPECT_EQ(inner.finish().count(), 1U);
    EXPECT_EQ(outer.finish().count(), 2U);
}

TEST(request_ledger, threads_spend_no_more_than_was_minted)
{
    constexpr std::uint32_t minted = 1000;
    constexpr unsigned threads = 4;
    request_ledger ledger;
    auto running = ledger.open(some_id, {}, retry_tokens::mint(minted));
    std::vector<std::uint32_t> spent(threads);
    {
        std::vector<std::jthread> workers;
        for (unsigned worker = 0; worker < threads; ++worker)
        {
            workers.emplace_back(
                [&ledger, &count = spent[worker]]
                {
                    for (unsigned turn = 0; turn < 2 * minted; ++turn)
                    {
                        auto call = ledger.begin_sub_call(some_id, 2);
                        count += call->tokens().spend() ? 1 : 0;
                    }
                });
        }
    }
    std::uint32_t total = 0;
    for (const auto count : spent)
    {
        total += count;
    }
    EXPECT_EQ(total + running.finish().count(), minted);
}

} // namespace
} // namespace nutmegusher
