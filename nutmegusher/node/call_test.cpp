#include "nutmegusher/node/call.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::node
{
namespace
{

TEST(refusal, round_trips_through_its_headers)
{
    const refusal refused{
        call_reason::overload,
        call_outcome::not_run,
        std::chrono::milliseconds(1200)};
    const auto head = to_head(refused);
    EXPECT_EQ(head.status, 503U);
    EXPECT_EQ(wire::find_header(head.fields, "retry-after"), "2");
    const auto parsed = refusal_of(head);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->reason, refused.reason);
    EXPECT_EQ(parsed->result, refused.result);
    EXPECT_EQ(parsed->retry_after, refused.retry_after);
}

TEST(refusal, an_answer_of_the_upstream_is_not_a_refusal)
{
    EXPECT_FALSE(refusal_of({503, {}}));
    EXPECT_FALSE(refusal_of(
        {503, {{"nutmeg-outcome", "not-run"}, {"nutmeg-reason", "strange"}}}));
    EXPECT_FALSE(refusal_of(
        {200,
         {{"nutmeg-outcome", "completed"}, {"nutmeg-reason", "overload"}}}));
}

TEST(attempt, round_trips_through_its_text)
{
    messages::attempt attempt;
    attempt.set_entry_host("a/b");
    attempt.set_entry_incarnation(7);
    attempt.set_sequence(9);
    const auto parsed = parse_attempt(to_text(attempt));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->entry_host(), "a/b");
    EXPECT_EQ(parsed->entry_incarnation(), 7U);
    EXPECT_EQ(parsed->sequence(), 9U);
}

TEST(attempt, malformed_text_is_refused)
{
    for (const auto* text : {"", "a", "a/1", "/1/2", "a//2", "a/1/x", "a/1/"})
    {
        EXPECT_FALSE(parse_attempt(text)) << text;
    }
}

TEST(numbers, only_whole_ones_in_range)
{
    EXPECT_EQ(parse_milliseconds("250"), std::chrono::milliseconds(250));
    for (const auto* text : {"", "-1", "1.5", "10s", "99999999999", "86400001"})
    {
        EXPECT_FALSE(parse_milliseconds(text)) << text;
    }
    EXPECT_EQ(to_milliseconds(std::chrono::milliseconds(-4)), "0");
}

TEST(token, bounded_and_visible)
{
    EXPECT_TRUE(is_token("pay-2026-001"));
    EXPECT_FALSE(is_token(""));
    EXPECT_FALSE(is_token("a b"));
    EXPECT_FALSE(is_token(std::string(129, 'x')));
}

TEST(fields, own_ones_are_left_out)
{
    const wire::headers fields{{"accept", "x"}, {"nutmeg-rank", "0"}};
    EXPECT_EQ(without_own_fields(fields), (wire::headers{{"accept", "x"}}));
}

} // namespace
} // namespace nutmegusher::node
