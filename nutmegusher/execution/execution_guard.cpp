#include "nutmegusher/execution/execution_guard.hpp"

#include <atomic>
#include <utility>

namespace nutmegusher
{
namespace
{

reported_outcome not_run(outcome_reason reason)
{
    return {call_outcome::not_run, reason, std::nullopt};
}

reported_outcome unknown(outcome_reason reason)
{
    return {call_outcome::unknown, reason, std::nullopt};
}

// Returns an id that distinguishes the executions of one process, so that two
// copies of an attempt can't share a claim.
std::uint64_t next_execution_id()
{
    static std::atomic<std::uint64_t> last = 0;
    return ++last;
}

// Returns the outcome for a verdict which says that the attempt doesn't hold
// the claim and never will, or that nothing is known about it.
reported_outcome outcome_of_refusal(const messages::claim_result& result)
{
    switch (result.verdict())
    {
    case messages::claim_already_finished:
        return {call_outcome::completed, outcome_reason::none, result.answer()};
    case messages::claim_other_request:
        return not_run(outcome_reason::key_reused);
    case messages::claim_fenced:
        return not_run(outcome_reason::fenced);
    case messages::claim_in_progress:
        return unknown(outcome_reason::in_progress);
    case messages::claim_attempt_expired:
        return unknown(outcome_reason::attempt_expired);
    default:
        return unknown(outcome_reason::claims_unavailable);
    }
}

} // namespace

reported_outcome outcome_of_fence(const messages::claim_result& result)
{
    if (result.verdict() == messages::claim_granted)
    {
        return not_run(outcome_reason::connection_lost);
    }
    return outcome_of_refusal(result);
}

execution_guard::execution_guard(execution_request request)
    : request_(std::move(request))
{
    if (request_.executor.execution() == 0)
    {
        request_.executor.set_execution(next_execution_id());
    }
}

guard_step execution_guard::begin(time_point now, std::uint64_t wall_ms)
{
    if (state_ != guard_state::admitted)
    {
        return {};
    }
    if (now >= request_.deadline)
    {
        return end(not_run(outcome_reason::deadline));
    }
    state_ = guard_state::claiming;
    return propose_start(wall_ms);
}

guard_step execution_guard::claim_replied(
    time_point now,
    std::uint64_t wall_ms,
    messages::claim_command::ActionCase proposed_action,
    const messages::claim_result& result)
{
    const bool awaiting_start_verdict =
        state_ == guard_state::claiming || state_ == guard_state::releasing;
    if (proposed_action == messages::claim_command::kStart &&
        awaiting_start_verdict)
    {
        return start_replied(now, wall_ms, result);
    }
    if (proposed_action == messages::claim_command::kRelease &&
        state_ == guard_state::releasing)
    {
        return release_replied(now, wall_ms, result);
    }
    if (proposed_action == messages::claim_command::kFinish &&
        state_ == guard_state::finishing)
    {
        if (result.verdict() == messages::claim_unavailable)
        {
            return propose_finish(wall_ms);
        }
        state_ = guard_state::ended;
    }
    return {};
}

guard_step execution_guard::start_replied(
    time_point now, std::uint64_t wall_ms, const messages::claim_result& result)
{
    if (result.verdict() == messages::claim_granted)
    {
        return granted(now, wall_ms);
    }
    if (result.verdict() == messages::claim_unavailable)
    {
        return state_ == guard_state::claiming ? claim_reply_lost(now, wall_ms)
                                               : guard_step{};
    }
    if (granted_)
    {
        // This verdict is for a duplicate of the start; the grant stands.
        return {};
    }
    return end(outcome_of_refusal(result));
}

guard_step execution_guard::granted(time_point now, std::uint64_t wall_ms)
{
    granted_ = true;
    if (state_ == guard_state::releasing)
    {
        // A release was proposed already.
        return {};
    }
    if (now >= request_.deadline)
    {
        return abandon(wall_ms, outcome_reason::deadline);
    }
    state_ = guard_state::running;
    guard_step step;
    step.start_call = true;
    return step;
}

guard_step
execution_guard::claim_reply_lost(time_point now, std::uint64_t wall_ms)
{
    switch (state_)
    {
    case guard_state::claiming:
        return now < request_.deadline
                   ? propose_start(wall_ms)
                   : abandon(wall_ms, outcome_reason::claims_unavailable);
    case guard_state::releasing:
        return retry_release(now, wall_ms);
    case guard_state::finishing:
        return propose_finish(wall_ms);
    default:
        return {};
    }
}

guard_step execution_guard::cancel(std::uint64_t wall_ms, outcome_reason reason)
{
    switch (state_)
    {
    case guard_state::admitted:
        return end(not_run(reason));
    case guard_state::claiming:
        return abandon(wall_ms, reason);
    default:
        return {};
    }
}

guard_step execution_guard::call_completed(
    std::uint64_t wall_ms, const messages::stored_answer& answer)
{
    if (state_ != guard_state::running)
    {
        return {};
    }
    state_ = guard_state::finishing;
    answer_ = answer;
    auto step = propose_finish(wall_ms);
    // The answer is reported before it is recorded. If recording fails, the
    // claim stays in progress, so no other execution can start.
    report(step, {call_outcome::completed, outcome_reason::none, std::nullopt});
    return step;
}

guard_step execution_guard::call_refused(std::uint64_t wall_ms)
{
    return state_ == guard_state::running
               ? abandon(wall_ms, outcome_reason::upstream_refused)
               : guard_step{};
}

guard_step execution_guard::call_incomplete()
{
    return state_ == guard_state::running
               ? end(unknown(outcome_reason::connection_lost))
               : guard_step{};
}

guard_step
execution_guard::abandon(std::uint64_t wall_ms, outcome_reason reason)
{
    state_ = guard_state::releasing;
    release_reason_ = reason;
    return propose_release(wall_ms);
}

guard_step execution_guard::release_replied(
    time_point now, std::uint64_t wall_ms, const messages::claim_result& result)
{
    switch (result.verdict())
    {
    case messages::claim_granted:
        return end(not_run(release_reason_));
    case messages::claim_unavailable:
        return retry_release(now, wall_ms);
    default:
        // Another execution of the attempt holds the claim.
        return end(
            granted_ ? not_run(release_reason_)
                     : unknown(outcome_reason::in_progress));
    }
}

// Proposes the release again until it is confirmed, so that the key becomes
// free. The caller gets its outcome after the grace period at the latest.
guard_step execution_guard::retry_release(time_point now, std::uint64_t wall_ms)
{
    auto step = propose_release(wall_ms);
    if (now >= request_.deadline + request_.release_grace)
    {
        report(
            step,
            granted_ ? not_run(release_reason_)
                     : unknown(outcome_reason::claims_unavailable));
    }
    return step;
}

messages::claim_command execution_guard::command(std::uint64_t wall_ms) const
{
    messages::claim_command out;
    *out.mutable_key() = request_.key;
    *out.mutable_by() = request_.by;
    *out.mutable_executor() = request_.executor;
    out.set_proposed_at_ms(wall_ms);
    return out;
}

guard_step execution_guard::propose_start(std::uint64_t wall_ms)
{
    guard_step step;
    step.propose = command(wall_ms);
    step.propose->mutable_start()->set_request_digest(request_.request_digest);
    return step;
}

guard_step execution_guard::propose_finish(std::uint64_t wall_ms)
{
    guard_step step;
    step.propose = command(wall_ms);
    *step.propose->mutable_finish()->mutable_answer() = answer_;
    return step;
}

guard_step execution_guard::propose_release(std::uint64_t wall_ms)
{
    guard_step step;
    step.propose = command(wall_ms);
    step.propose->mutable_release();
    return step;
}

void execution_guard::report(guard_step& step, reported_outcome outcome)
{
    if (!std::exchange(reported_, true))
    {
        step.report = std::move(outcome);
    }
}

guard_step execution_guard::end(reported_outcome outcome)
{
    state_ = guard_state::ended;
    guard_step step;
    report(step, std::move(outcome));
    return step;
}

} // namespace nutmegusher
