#include "nutmegusher/policy/policy.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegusher
{
namespace
{

using std::chrono::milliseconds;

class retrying : public testing::Test
{
protected:
    retrying()
    {
        failed.how = try_failure::not_connected;
        failed.repeatable = true;
        failed.tokens = 2;
        failed.time_left = milliseconds(500);
        failed.expected_time = milliseconds(50);
        failed.has_alternative = true;
    }

    no_retry_reason reason()
    {
        return std::get<no_retry>(decide_retry(failed, engine)).why;
    }

    failed_try failed;
    random_engine engine{1};
};

TEST_F(retrying, retries_at_another_upstream_at_once)
{
    EXPECT_EQ(decide_retry(failed, engine), retry_decision(retry_at_once{}));
}

TEST_F(retrying, never_repeats_what_may_have_run)
{
    failed.repeatable = false;
    failed.how = try_failure::connection_lost;
    EXPECT_EQ(reason(), no_retry_reason::may_have_run);
    failed.certainly_not_run = true;
    EXPECT_EQ(decide_retry(failed, engine), retry_decision(retry_at_once{}));
}

TEST_F(retrying, does_not_retry_when_the_service_is_overloaded)
{
    failed.how = try_failure::overload;
    failed.tries = 2;
    EXPECT_EQ(reason(), no_retry_reason::overloaded);
    failed.tries = 1;
    failed.has_alternative = false;
    EXPECT_EQ(reason(), no_retry_reason::overloaded);
}

TEST_F(retrying, does_not_retry_when_a_deeper_service_is_overloaded)
{
    failed.how = try_failure::overload_deeper;
    failed.certainly_not_run = true;
    EXPECT_EQ(reason(), no_retry_reason::overloaded);
}

TEST_F(retrying, stops_without_tokens_or_time)
{
    failed.tokens = 0;
    EXPECT_EQ(reason(), no_retry_reason::no_tokens);
    failed.tokens = 1;
    failed.time_left = milliseconds(40);
    EXPECT_EQ(reason(), no_retry_reason::no_time);
}

TEST(token_split, moves_tokens_and_copies_none)
{
    for (std::uint32_t tokens = 0; tokens <= 10; ++tokens)
    {
        const token_split split = split_tokens(tokens);
        EXPECT_EQ(split.kept + split.sent, tokens);
    }
}

TEST(repeated_key_detector, recognises_a_repeated_key_until_it_expires)
{
    manual_clock clock;
    repeated_key_detector keys;
    EXPECT_FALSE(keys.is_repeated(1, clock.now()));
    EXPECT_TRUE(keys.is_repeated(1, clock.now()));
    clock.advance(repeated_key_detector::retention * 2);
    keys.is_repeated(2, clock.now());
    clock.advance(repeated_key_detector::retention);
    EXPECT_FALSE(keys.is_repeated(1, clock.now()));
}

// A chain of random depth in which every call fails with some probability and
// each hop uses the real split and decision. Guards against retries multiplying
// in the chain: no request may spend more tokens than it was issued, and all
// retries of the class must stay within the ratio and the accumulated balance.
RC_GTEST_PROP(retry_chain, spends_no_more_than_was_issued, ())
{
    random_engine engine(*rc::gen::arbitrary<std::uint64_t>());
    const auto depth = *rc::gen::inRange(1, 11);
    const auto failures_in_ten = *rc::gen::inRange(0, 11);
    retry_budget budget;
    constexpr int requests = 300;
    std::uint64_t retries = 0;
    // Returns the remaining `tokens`; `ok` is set if the call succeeded.
    const auto call = [&](const auto& self,
                          int hop,
                          std::uint32_t tokens,
                          bool& ok) -> std::uint32_t
    {
        for (std::uint32_t tries = 1;; ++tries)
        {
            const token_split split = split_tokens(tokens);
            std::uint32_t left = split.sent;
            ok = true;
            if (hop > 1)
            {
                left = self(self, hop - 1, split.sent, ok);
            }
            ok = ok && uniform_below(engine, 10) >=
                           static_cast<std::uint64_t>(failures_in_ten);
            RC_ASSERT(left <= split.sent);
            tokens = split.kept + left;
            failed_try failed;
            failed.repeatable = true;
            failed.tokens = tokens;
            failed.time_left = milliseconds(500);
            failed.has_alternative = true;
            failed.tries = tries;
            const retry_decision verdict = decide_retry(failed, engine);
            if (ok || std::holds_alternative<no_retry>(verdict))
            {
                return tokens;
            }
            --tokens;
            ++retries;
        }
    };
    for (int request = 0; request < requests; ++request)
    {
        const std::uint32_t issued = budget.begin(false);
        RC_ASSERT(issued <= tokens_per_request);
        const std::uint64_t before = retries;
        bool ok = false;
        const std::uint32_t left = call(call, depth, issued, ok);
        RC_ASSERT(retries - before == issued - left);
        budget.end(issued, left);
    }
    RC_ASSERT(
        static_cast<double>(retries) <= requests * retry_budget::ratio +
                                            retry_budget::max_balance +
                                            tokens_per_request);
}

TEST(retry_budget, gives_a_client_retry_no_tokens)
{
    retry_budget budget;
    EXPECT_EQ(budget.begin(true), 0U);
    EXPECT_EQ(budget.begin(false), tokens_per_request);
}

} // namespace
} // namespace nutmegusher
