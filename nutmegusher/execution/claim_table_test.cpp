#include "nutmegusher/execution/execution.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

constexpr std::uint64_t start_ms = 1'790'000'000'000;
constexpr std::uint64_t digest = 7;

messages::claim_key key_of(const std::string& text)
{
    messages::claim_key key;
    key.set_customer("relief");
    key.set_class_name("payout");
    key.set_idempotency_key(text);
    return key;
}

// Returns attempt `number`, issued `issued_after_ms` after `start_ms`.
messages::attempt attempt_of(unsigned number, std::uint64_t issued_after_ms = 0)
{
    messages::attempt by;
    by.set_entry_host("entry");
    by.set_entry_incarnation(1);
    by.set_sequence(
        ((start_ms + issued_after_ms) << attempt_sequence::counter_bits) +
        number);
    return by;
}

class claim_table_test : public ::testing::Test
{
protected:
    messages::claim_command command(unsigned attempt) const
    {
        messages::claim_command out;
        *out.mutable_key() = key_of("k");
        *out.mutable_by() = attempt_of(attempt);
        out.mutable_executor()->set_host("executor");
        out.mutable_executor()->set_execution(attempt);
        out.set_proposed_at_ms(now_ms);
        return out;
    }

    messages::claim_command
    start(unsigned attempt, std::uint64_t content_digest = digest) const
    {
        auto out = command(attempt);
        out.mutable_start()->set_request_digest(content_digest);
        return out;
    }

    messages::claim_command
    finish(unsigned attempt, const std::string& body = "done") const
    {
        auto out = command(attempt);
        out.mutable_finish()->mutable_answer()->set_status(200);
        out.mutable_finish()->mutable_answer()->set_body(body);
        return out;
    }

    messages::claim_command release(unsigned attempt) const
    {
        auto out = command(attempt);
        out.mutable_release();
        return out;
    }

    messages::claim_command
    fence(unsigned attempt, std::uint64_t content_digest = digest) const
    {
        auto out = command(attempt);
        out.mutable_fence()->set_request_digest(content_digest);
        return out;
    }

    messages::claim_verdict apply(const messages::claim_command& command)
    {
        return table.apply(command).verdict();
    }

    claim_limits limits{.max_time_step_ms = ~0ULL >> 1U};
    claim_table table{limits};
    std::uint64_t now_ms = start_ms;
};

TEST_F(claim_table_test, first_attempt_is_granted_others_are_not)
{
    EXPECT_EQ(apply(start(1)), messages::claim_granted);
    const auto second = table.apply(start(2));
    EXPECT_EQ(second.verdict(), messages::claim_in_progress);
    EXPECT_EQ(second.holder().sequence(), attempt_of(1).sequence());
}

TEST_F(claim_table_test, start_resent_after_a_lost_answer_is_granted_again)
{
    EXPECT_EQ(apply(start(1)), messages::claim_granted);
    EXPECT_EQ(apply(start(1)), messages::claim_granted);
    EXPECT_EQ(table.counts().running, 1U);
}

TEST_F(claim_table_test, same_attempt_in_a_restarted_executor_is_not_granted)
{
    EXPECT_EQ(apply(start(1)), messages::claim_granted);
    auto again = start(1);
    again.mutable_executor()->set_incarnation(2);
    EXPECT_EQ(apply(again), messages::claim_in_progress);
}

TEST_F(
    claim_table_test, second_copy_of_an_attempt_in_one_executor_is_not_granted)
{
    EXPECT_EQ(apply(start(1)), messages::claim_granted);
    auto copy = start(1);
    copy.mutable_executor()->set_execution(99);
    EXPECT_EQ(apply(copy), messages::claim_in_progress);
    copy.mutable_release();
    EXPECT_EQ(apply(copy), messages::claim_not_held);
    copy.mutable_finish();
    EXPECT_EQ(apply(copy), messages::claim_not_held);
    EXPECT_EQ(table.counts().running, 1U);
}

TEST_F(claim_table_test, first_outcome_answers_later_attempts)
{
    apply(start(1));
    EXPECT_EQ(apply(finish(1, "first")), messages::claim_granted);
    EXPECT_EQ(apply(finish(1, "first")), messages::claim_granted);
    EXPECT_EQ(apply(finish(2, "second")), messages::claim_not_held);
    const auto later = table.apply(start(2));
    EXPECT_EQ(later.verdict(), messages::claim_already_finished);
    EXPECT_EQ(later.answer().body(), "first");
    EXPECT_EQ(table.find(key_of("k")).answer().body(), "first");
}

TEST_F(claim_table_test, same_key_with_another_request_is_refused)
{
    apply(start(1));
    EXPECT_EQ(apply(start(2, digest + 1)), messages::claim_other_request);
    apply(finish(1));
    EXPECT_EQ(apply(start(3, digest + 1)), messages::claim_other_request);
    EXPECT_EQ(apply(fence(4, digest + 1)), messages::claim_other_request);
}

TEST_F(claim_table_test, start_after_its_fence_is_refused)
{
    EXPECT_EQ(apply(fence(1)), messages::claim_granted);
    EXPECT_EQ(apply(start(1)), messages::claim_fenced);
    EXPECT_EQ(apply(start(2)), messages::claim_granted);
}

TEST_F(claim_table_test, look_up_reports_the_state_and_changes_nothing)
{
    auto look_up = command(9);
    look_up.mutable_look_up();
    EXPECT_EQ(apply(look_up), messages::claim_verdict_none);
    apply(start(1));
    EXPECT_EQ(apply(look_up), messages::claim_in_progress);
    apply(finish(1, "first"));
    EXPECT_EQ(table.apply(look_up).answer().body(), "first");
    EXPECT_EQ(table.counts().fences, 0U);
}

TEST_F(claim_table_test, fence_without_a_digest_gets_the_outcome_of_any_request)
{
    apply(start(1));
    apply(finish(1));
    EXPECT_EQ(apply(fence(2, 0)), messages::claim_already_finished);
}

TEST_F(claim_table_test, fence_after_the_start_is_not_granted)
{
    apply(start(1));
    EXPECT_EQ(apply(fence(1)), messages::claim_in_progress);
    EXPECT_EQ(apply(finish(1)), messages::claim_granted);
    EXPECT_EQ(apply(fence(1)), messages::claim_already_finished);
}

TEST_F(claim_table_test, released_key_can_be_claimed_by_a_new_attempt_only)
{
    apply(start(1));
    EXPECT_EQ(apply(release(1)), messages::claim_granted);
    EXPECT_EQ(apply(release(1)), messages::claim_granted);
    EXPECT_EQ(apply(start(1)), messages::claim_fenced);
    EXPECT_EQ(apply(start(2)), messages::claim_granted);
    EXPECT_EQ(apply(release(1)), messages::claim_granted);
    EXPECT_EQ(table.counts().running, 1U);
}

TEST_F(claim_table_test, operator_resolves_only_the_named_holder)
{
    auto ran = command(1);
    ran.mutable_resolve()->mutable_answer()->set_status(201);
    EXPECT_EQ(apply(ran), messages::claim_not_held);
    apply(start(1));
    auto other = ran;
    *other.mutable_by() = attempt_of(2);
    EXPECT_EQ(apply(other), messages::claim_not_held);
    auto copy = ran;
    copy.mutable_executor()->set_execution(99);
    EXPECT_EQ(apply(copy), messages::claim_not_held);
    EXPECT_EQ(
        table.find(key_of("k")).executor().execution(),
        ran.executor().execution());
    EXPECT_EQ(apply(ran), messages::claim_granted);
    EXPECT_EQ(apply(ran), messages::claim_not_held);
    EXPECT_EQ(table.apply(start(3)).answer().status(), 201U);
}

TEST_F(claim_table_test, operator_frees_a_key_whose_holder_never_ran)
{
    apply(start(1));
    auto never = command(1);
    never.mutable_resolve();
    EXPECT_EQ(apply(never), messages::claim_granted);
    EXPECT_EQ(apply(start(1)), messages::claim_fenced);
    EXPECT_EQ(apply(finish(1)), messages::claim_not_held);
    EXPECT_EQ(apply(start(2)), messages::claim_granted);
}

TEST_F(claim_table_test, late_copy_of_a_refused_start_is_not_granted)
{
    apply(start(1));
    EXPECT_EQ(apply(start(2)), messages::claim_in_progress);
    apply(release(1));
    EXPECT_EQ(apply(start(2)), messages::claim_fenced);
}

TEST_F(claim_table_test, running_claim_never_expires)
{
    apply(start(1));
    now_ms += 100 * limits.retention_ms;
    EXPECT_EQ(apply(start(1)), messages::claim_granted);
    EXPECT_EQ(apply(start(2)), messages::claim_in_progress);
}

TEST_F(claim_table_test, late_start_is_refused_after_its_fence_was_removed)
{
    EXPECT_EQ(apply(fence(1)), messages::claim_granted);
    now_ms += limits.attempt_lifetime_ms + 1;
    EXPECT_EQ(apply(start(1)), messages::claim_attempt_expired);
    EXPECT_EQ(table.counts().fences, 0U);
}

TEST_F(claim_table_test, fence_outlives_an_attempt_from_a_fast_clock)
{
    const auto clock_lead_ms = limits.attempt_lifetime_ms / 2;
    auto given_up = fence(1);
    *given_up.mutable_by() = attempt_of(1, clock_lead_ms);
    EXPECT_EQ(apply(given_up), messages::claim_granted);
    now_ms += limits.attempt_lifetime_ms + 1;
    auto late = start(1);
    *late.mutable_by() = attempt_of(1, clock_lead_ms);
    EXPECT_EQ(apply(late), messages::claim_fenced);
}

TEST_F(claim_table_test, finished_key_is_removed_after_its_retention)
{
    apply(start(1));
    apply(finish(1));
    now_ms += limits.retention_ms;
    apply(fence(2));
    EXPECT_EQ(table.counts().finished, 1U);
    now_ms += 1;
    apply(fence(2));
    EXPECT_EQ(table.counts().finished, 0U);
    EXPECT_EQ(table.counts().bytes, 0U);
}

TEST_F(claim_table_test, one_wrong_clock_does_not_end_all_retentions)
{
    table = claim_table(claim_limits{});
    apply(start(1));
    apply(finish(1));
    auto wrong = fence(2);
    wrong.set_proposed_at_ms(start_ms + 1000 * limits.retention_ms);
    apply(wrong);
    EXPECT_EQ(table.counts().finished, 1U);
}

TEST_F(claim_table_test, log_time_catch_up_after_idle_keeps_recent_outcomes)
{
    table = claim_table(claim_limits{.max_time_step_ms = 1000});
    apply(fence(9));
    now_ms += 3 * limits.retention_ms;
    auto recent = start(1);
    *recent.mutable_by() = attempt_of(1, now_ms - start_ms);
    apply(recent);
    recent = finish(1);
    *recent.mutable_by() = attempt_of(1, now_ms - start_ms);
    EXPECT_EQ(apply(recent), messages::claim_granted);
    for (std::uint64_t step = 0; step < 3 * limits.retention_ms; step += 1000)
    {
        apply(command(2));
    }
    EXPECT_EQ(table.counts().log_time_ms, now_ms);
    EXPECT_EQ(table.counts().finished, 1U);
}

TEST_F(claim_table_test, answer_limit_drops_oldest_bodies_and_keeps_keys)
{
    claim_limits limits;
    limits.max_answer_bytes = 500;
    table = claim_table(limits);
    apply(start(1));
    apply(finish(1, std::string(400, 'x')));
    auto other = start(2);
    *other.mutable_key() = key_of("other");
    apply(other);
    auto other_done = finish(2, std::string(400, 'y'));
    *other_done.mutable_key() = key_of("other");
    apply(other_done);

    const auto oldest = table.find(key_of("k"));
    EXPECT_EQ(oldest.verdict(), messages::claim_already_finished);
    EXPECT_TRUE(oldest.answer().body_dropped());
    EXPECT_EQ(oldest.answer().status(), 200U);
    EXPECT_EQ(oldest.answer().body_size(), 400U);
    EXPECT_FALSE(table.find(key_of("other")).answer().body_dropped());
}

TEST_F(claim_table_test, full_table_refuses_new_keys_and_removes_none)
{
    claim_limits limits;
    limits.max_bytes = 300;
    table = claim_table(limits);
    EXPECT_EQ(apply(start(1)), messages::claim_granted);
    auto other = start(2);
    *other.mutable_key() = key_of("other");
    EXPECT_EQ(apply(other), messages::claim_unavailable);
    EXPECT_EQ(apply(start(1)), messages::claim_granted);
}

TEST_F(claim_table_test, snapshot_restores_everything)
{
    apply(start(1));
    apply(finish(1, "first"));
    apply(fence(3));
    auto other = start(2);
    *other.mutable_key() = key_of("other");
    apply(other);
    const auto bytes = table.snapshot();
    auto restored = claim_table::restore(bytes);
    ASSERT_TRUE(restored);
    EXPECT_EQ(restored->snapshot(), bytes);
    EXPECT_EQ(restored->counts().bytes, table.counts().bytes);
    EXPECT_EQ(restored->counts().answer_bytes, table.counts().answer_bytes);
    EXPECT_EQ(
        restored->apply(start(4)).verdict(), messages::claim_already_finished);
    EXPECT_EQ(restored->apply(other).verdict(), messages::claim_granted);
}

bad_claim_snapshot::fault fault_of(const std::string& bytes)
{
    auto found = bad_claim_snapshot::fault::not_decodable;
    bool failed = false;
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_CHECK(claim_table::restore(bytes));
            return {};
        },
        [&](const bad_claim_snapshot& problem)
        {
            found = problem.what;
            failed = true;
        },
        [] {});
    EXPECT_TRUE(failed);
    return found;
}

TEST_F(claim_table_test, broken_snapshot_is_refused)
{
    using fault = bad_claim_snapshot::fault;
    EXPECT_EQ(fault_of("rubbish"), fault::not_decodable);
    EXPECT_EQ(fault_of(""), fault::not_decodable);

    messages::claim_table_snapshot twice;
    twice.mutable_limits();
    *twice.add_running()->mutable_key() = key_of("k");
    *twice.add_finished()->mutable_key() = key_of("k");
    EXPECT_EQ(fault_of(twice.SerializeAsString()), fault::repeated_key);

    messages::claim_table_snapshot unordered;
    unordered.mutable_limits();
    *unordered.add_finished()->mutable_key() = key_of("a");
    unordered.mutable_finished(0)->set_finished_at_ms(2);
    *unordered.add_finished()->mutable_key() = key_of("b");
    EXPECT_EQ(
        fault_of(unordered.SerializeAsString()), fault::finished_out_of_order);
}

} // namespace
} // namespace nutmegusher
