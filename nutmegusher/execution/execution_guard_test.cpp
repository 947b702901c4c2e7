#include "nutmegusher/execution/execution.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

using action = messages::claim_command::ActionCase;

constexpr std::uint64_t wall_ms = 1'790'000'000'000;
const time_point start_time(std::chrono::hours(1));
const time_point deadline = start_time + std::chrono::seconds(2);
const time_point after_grace = deadline + std::chrono::seconds(2);

class execution_guard_test : public ::testing::Test
{
protected:
    static execution_request request()
    {
        execution_request out;
        out.key.set_idempotency_key("k");
        out.by.set_sequence(7);
        out.executor.set_execution(3);
        out.request_digest = 11;
        out.deadline = deadline;
        return out;
    }

    guard_step reply(
        action proposed_action, messages::claim_verdict verdict, time_point at)
    {
        messages::claim_result result;
        result.set_verdict(verdict);
        if (verdict == messages::claim_already_finished)
        {
            result.mutable_answer()->set_body("first");
        }
        return guard.claim_replied(at, wall_ms, proposed_action, result);
    }

    guard_step start_replied(messages::claim_verdict verdict)
    {
        return reply(action::kStart, verdict, start_time);
    }

    // Brings the guard into the state `running`.
    void run()
    {
        guard.begin(start_time, wall_ms);
        EXPECT_TRUE(start_replied(messages::claim_granted).start_call);
    }

    execution_guard guard{request()};
};

void expect_reported(
    const guard_step& step, call_outcome outcome, outcome_reason reason)
{
    ASSERT_TRUE(step.report);
    EXPECT_EQ(step.report->outcome, outcome);
    EXPECT_EQ(step.report->reason, reason);
}

TEST_F(execution_guard_test, starts_only_with_the_claim)
{
    const auto first = guard.begin(start_time, wall_ms);
    ASSERT_TRUE(first.propose);
    EXPECT_EQ(first.propose->start().request_digest(), 11U);
    EXPECT_FALSE(first.start_call);
    EXPECT_TRUE(start_replied(messages::claim_granted).start_call);
    EXPECT_FALSE(start_replied(messages::claim_granted).start_call);
    EXPECT_EQ(guard.state(), guard_state::running);
}

TEST_F(
    execution_guard_test,
    copies_of_an_attempt_in_a_process_get_distinct_execution_ids)
{
    auto copied = request();
    copied.executor.clear_execution();
    copied.by.set_sequence(attempt_sequence().next(wall_ms));
    execution_guard one(copied);
    execution_guard two(copied);
    const auto first = one.begin(start_time, wall_ms);
    const auto second = two.begin(start_time, wall_ms);
    EXPECT_NE(
        first.propose->executor().execution(),
        second.propose->executor().execution());
    claim_table table;
    EXPECT_EQ(table.apply(*first.propose).verdict(), messages::claim_granted);
    EXPECT_EQ(
        table.apply(*second.propose).verdict(), messages::claim_in_progress);
}

TEST_F(execution_guard_test, claims_nothing_after_the_deadline)
{
    const auto step = guard.begin(deadline, wall_ms);
    EXPECT_FALSE(step.propose);
    expect_reported(step, call_outcome::not_run, outcome_reason::deadline);
}

TEST_F(execution_guard_test, grant_received_after_the_deadline_is_released)
{
    guard.begin(start_time, wall_ms);
    const auto late = reply(action::kStart, messages::claim_granted, deadline);
    EXPECT_FALSE(late.start_call);
    ASSERT_TRUE(late.propose);
    EXPECT_TRUE(late.propose->has_release());
    EXPECT_FALSE(late.report);
    expect_reported(
        reply(action::kRelease, messages::claim_granted, deadline),
        call_outcome::not_run,
        outcome_reason::deadline);
}

TEST_F(execution_guard_test, cancelled_before_the_claim_is_not_run)
{
    expect_reported(
        guard.cancel(wall_ms, outcome_reason::cancelled),
        call_outcome::not_run,
        outcome_reason::cancelled);
    EXPECT_FALSE(guard.begin(start_time, wall_ms).propose);
}

TEST_F(execution_guard_test, cancelled_while_claiming_never_starts)
{
    guard.begin(start_time, wall_ms);
    const auto step = guard.cancel(wall_ms, outcome_reason::cancelled);
    ASSERT_TRUE(step.propose);
    EXPECT_TRUE(step.propose->has_release());
    EXPECT_FALSE(start_replied(messages::claim_granted).start_call);
    expect_reported(
        reply(action::kRelease, messages::claim_granted, start_time),
        call_outcome::not_run,
        outcome_reason::cancelled);
}

TEST_F(execution_guard_test, start_is_proposed_again_after_a_lost_reply)
{
    guard.begin(start_time, wall_ms);
    const auto again = guard.claim_reply_lost(start_time, wall_ms);
    ASSERT_TRUE(again.propose);
    EXPECT_TRUE(again.propose->has_start());
    const auto late = guard.claim_reply_lost(deadline, wall_ms);
    ASSERT_TRUE(late.propose);
    EXPECT_TRUE(late.propose->has_release());
    EXPECT_FALSE(late.report);
}

TEST_F(execution_guard_test, unconfirmed_release_without_a_grant_is_unknown)
{
    guard.begin(start_time, wall_ms);
    guard.claim_reply_lost(deadline, wall_ms);
    const auto step = guard.claim_reply_lost(after_grace, wall_ms);
    EXPECT_TRUE(step.propose);
    expect_reported(
        step, call_outcome::unknown, outcome_reason::claims_unavailable);
    EXPECT_FALSE(guard.claim_reply_lost(after_grace, wall_ms).report);
}

TEST_F(execution_guard_test, unconfirmed_release_after_a_grant_is_not_run)
{
    guard.begin(start_time, wall_ms);
    reply(action::kStart, messages::claim_granted, deadline);
    expect_reported(
        guard.claim_reply_lost(after_grace, wall_ms),
        call_outcome::not_run,
        outcome_reason::deadline);
}

TEST_F(execution_guard_test, refused_start_reports_what_the_verdict_implies)
{
    struct expectation
    {
        messages::claim_verdict verdict;
        call_outcome outcome;
        outcome_reason reason;
    };
    const expectation all[] = {
        {messages::claim_in_progress,
         call_outcome::unknown,
         outcome_reason::in_progress},
        {messages::claim_other_request,
         call_outcome::not_run,
         outcome_reason::key_reused},
        {messages::claim_fenced, call_outcome::not_run, outcome_reason::fenced},
        {messages::claim_attempt_expired,
         call_outcome::unknown,
         outcome_reason::attempt_expired},
        {messages::claim_not_held,
         call_outcome::unknown,
         outcome_reason::claims_unavailable}};
    for (const auto& expected : all)
    {
        guard = execution_guard(request());
        guard.begin(start_time, wall_ms);
        const auto step = start_replied(expected.verdict);
        EXPECT_FALSE(step.start_call);
        expect_reported(step, expected.outcome, expected.reason);
        EXPECT_EQ(guard.state(), guard_state::ended);
    }
}

TEST_F(execution_guard_test, repeated_key_gets_the_first_answer)
{
    guard.begin(start_time, wall_ms);
    const auto step = start_replied(messages::claim_already_finished);
    expect_reported(step, call_outcome::completed, outcome_reason::none);
    EXPECT_EQ(step.report->answer->body(), "first");
}

TEST_F(
    execution_guard_test,
    answer_is_reported_at_once_and_its_recording_is_retried)
{
    run();
    messages::stored_answer answer;
    answer.set_status(201);
    const auto step = guard.call_completed(wall_ms, answer);
    expect_reported(step, call_outcome::completed, outcome_reason::none);
    EXPECT_EQ(step.propose->finish().answer().status(), 201U);
    const auto again = guard.claim_reply_lost(after_grace, wall_ms);
    EXPECT_EQ(again.propose->finish().answer().status(), 201U);
    EXPECT_FALSE(again.report);
    reply(action::kFinish, messages::claim_granted, after_grace);
    EXPECT_EQ(guard.state(), guard_state::ended);
}

TEST_F(execution_guard_test, incomplete_call_is_unknown_and_keeps_the_claim)
{
    run();
    const auto step = guard.call_incomplete();
    EXPECT_FALSE(step.propose);
    expect_reported(
        step, call_outcome::unknown, outcome_reason::connection_lost);
}

TEST_F(execution_guard_test, cancel_does_not_affect_a_running_call)
{
    run();
    const auto step = guard.cancel(wall_ms, outcome_reason::cancelled);
    EXPECT_FALSE(step.report);
    EXPECT_FALSE(step.propose);
    EXPECT_EQ(guard.state(), guard_state::running);
}

TEST_F(execution_guard_test, call_refused_by_the_upstream_releases_the_key)
{
    run();
    const auto step = guard.call_refused(wall_ms);
    ASSERT_TRUE(step.propose);
    EXPECT_TRUE(step.propose->has_release());
    expect_reported(
        reply(action::kRelease, messages::claim_granted, start_time),
        call_outcome::not_run,
        outcome_reason::upstream_refused);
}

TEST(outcome_of_fence, reports_not_run_only_when_the_attempt_cannot_run)
{
    const auto reported = [](messages::claim_verdict verdict)
    {
        messages::claim_result result;
        result.set_verdict(verdict);
        return outcome_of_fence(result).outcome;
    };
    EXPECT_EQ(reported(messages::claim_granted), call_outcome::not_run);
    EXPECT_EQ(reported(messages::claim_other_request), call_outcome::not_run);
    EXPECT_EQ(reported(messages::claim_in_progress), call_outcome::unknown);
    EXPECT_EQ(
        reported(messages::claim_already_finished), call_outcome::completed);
    EXPECT_EQ(reported(messages::claim_attempt_expired), call_outcome::unknown);
    EXPECT_EQ(reported(messages::claim_unavailable), call_outcome::unknown);
}

} // namespace
} // namespace nutmegusher
