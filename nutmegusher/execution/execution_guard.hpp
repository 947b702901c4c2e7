// The executor's side of one non-repeatable call.
#ifndef NUTMEGUSHER_EXECUTION_EXECUTION_GUARD_HPP
#define NUTMEGUSHER_EXECUTION_EXECUTION_GUARD_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/execution.pb.h"

#include <cstdint>
#include <optional>

namespace nutmegusher
{

// One call, as received by the daemon that runs beside the upstream.
struct execution_request
{
    messages::claim_key key;
    messages::attempt by;
    // If `execution` is 0, the guard assigns an id that is unique in its
    // process.
    messages::claim_executor executor;
    std::uint64_t request_digest = 0;
    // The call is not started at or after this time.
    time_point deadline;
    // How long after the deadline the guard waits for the confirmation of a
    // release before it answers the caller without it. The default covers about
    // one change of leader.
    duration release_grace = std::chrono::seconds(1);
};

// The outcome of a call, as reported to its caller.
enum class call_outcome : std::uint8_t
{
    completed, // the complete first answer is available
    not_run,   // this attempt did not run the call and never will
    unknown    // the call may have run; retry with the same key
};

enum class outcome_reason : std::uint8_t
{
    none,
    deadline,
    cancelled,
    in_progress,
    key_reused,
    fenced,
    attempt_expired,
    claims_unavailable,
    upstream_refused,
    connection_lost
};

struct reported_outcome
{
    call_outcome outcome = call_outcome::unknown;
    outcome_reason reason = outcome_reason::none;
    // Set if this is the stored answer of an earlier attempt.
    std::optional<messages::stored_answer> answer;
};

// What the daemon does next: every action that is set, in this
// order.
struct guard_step
{
    std::optional<messages::claim_command> propose;
    bool start_call = false;
    std::optional<reported_outcome> report;
};

// The state of a call.
enum class guard_state : std::uint8_t
{
    admitted,  // nothing was proposed yet, so the call has not run
    claiming,  // a start was proposed; its verdict is not known yet
    running,   // granted and sent to the upstream; its answer decides
    finishing, // the answer was reported; its recording is in progress
    releasing, // the call won't run (again); the release is in progress
    ended
};

// State machine for one call that must run at most once. It takes the events of
// the call in the order in which they happen, proposes the claim, starts the
// call at most once and only while it holds the claim, and reports exactly one
// outcome to the caller:
//
// - admitted, then ended: not run.
// - claiming, start refused: the outcome that the verdict implies.
// - claiming, abandoned: as for releasing.
// - releasing, confirmed: not run.
// - releasing, not confirmed in time: not run if the claim was granted before,
//   else unknown.
// - running, complete answer: completed.
// - running, incomplete answer: unknown. The claim stays, so the call never
//   runs again.
// - running, the upstream asserts that the call had no effect: as for
//   releasing.
//
//     execution_guard guard(request);
//     perform(guard.begin(now, wall_ms));
//
// If the reply to a proposal doesn't arrive in time, call `claim_reply_lost`.
// The guard then repeats the proposal, which is idempotent. The caller has to
// add a pause between such resends. Not thread-safe.
class execution_guard
{
public:
    explicit execution_guard(execution_request request);

    // Begins the call. In all of these functions `wall_ms` is the host's wall
    // time in ms since 1970.
    guard_step begin(time_point now, std::uint64_t wall_ms);

    // Handles the verdict on a proposal of `proposed_action`.
    guard_step claim_replied(
        time_point now,
        std::uint64_t wall_ms,
        messages::claim_command::ActionCase proposed_action,
        const messages::claim_result& result);

    // Handles a proposal whose reply did not arrive in time.
    guard_step claim_reply_lost(time_point now, std::uint64_t wall_ms);

    // Cancels the call because the caller gave it up or its deadline passed. A
    // running call isn't affected: report its end as usual.
    guard_step cancel(std::uint64_t wall_ms, outcome_reason reason);

    // Handles a complete answer of the upstream. A body that is too large to
    // store is passed as a digest.
    guard_step call_completed(
        std::uint64_t wall_ms, const messages::stored_answer& answer);

    // Handles a refusal by which the upstream asserts that the call had no
    // effect.
    guard_step call_refused(std::uint64_t wall_ms);

    // Handles a call that was sent to the upstream but got no complete answer.
    guard_step call_incomplete();

    [[nodiscard]] guard_state state() const
    {
        return state_;
    }

    // Whether the claim is known to be held by this execution.
    [[nodiscard]] bool holds_claim() const
    {
        return granted_;
    }

private:
    [[nodiscard]] messages::claim_command command(std::uint64_t wall_ms) const;
    guard_step propose_start(std::uint64_t wall_ms);
    guard_step propose_finish(std::uint64_t wall_ms);
    guard_step propose_release(std::uint64_t wall_ms);

    guard_step start_replied(
        time_point now,
        std::uint64_t wall_ms,
        const messages::claim_result& result);
    guard_step granted(time_point now, std::uint64_t wall_ms);
    guard_step release_replied(
        time_point now,
        std::uint64_t wall_ms,
        const messages::claim_result& result);
    guard_step retry_release(time_point now, std::uint64_t wall_ms);
    guard_step abandon(std::uint64_t wall_ms, outcome_reason reason);

    // Sets `step.report` the first time; later calls do nothing.
    void report(guard_step& step, reported_outcome outcome);
    guard_step end(reported_outcome outcome);

    execution_request request_;
    guard_state state_ = guard_state::admitted;
    bool granted_ = false;
    bool reported_ = false;
    outcome_reason release_reason_ = outcome_reason::none;
    messages::stored_answer answer_;
};

// Returns the outcome that an entry daemon reports to its caller after it lost
// contact with the executor; `result` is the verdict on the fence it proposed.
[[nodiscard]] reported_outcome
outcome_of_fence(const messages::claim_result& result);

} // namespace nutmegusher

#endif
