// The executor's side of one call that may not be repeated.
#ifndef NUTMEGUSHER_EXECUTION_EXECUTION_GUARD_HPP
#define NUTMEGUSHER_EXECUTION_EXECUTION_GUARD_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/execution.pb.h"

#include <cstdint>
#include <optional>

namespace nutmegusher
{

// One call, as the daemon beside the upstream received it.
struct execution_request
{
    messages::claim_key key;
    messages::attempt by;
    // `execution` may be left 0: each guard of a process then gets its own.
    messages::claim_executor executor;
    std::uint64_t request_digest = 0;
    // Not started at or after this.
    time_point deadline;
    // How long after the deadline a release may still be confirmed before the
    // caller is answered without it: about one change of leader.
    duration release_grace = std::chrono::seconds(1);
};

// What a caller may be told of its call.
enum class call_outcome : std::uint8_t
{
    completed, // the whole first answer
    not_run,   // it certainly was not run by this attempt, and never will be
    unknown    // it may have run; ask again with the same key
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
    // Set where an earlier attempt's answer is repeated.
    std::optional<messages::stored_answer> answer;
};

// What the daemon does next; all that is set, in this order.
struct guard_step
{
    std::optional<messages::claim_command> propose;
    bool start_call = false;
    std::optional<reported_outcome> report;
};

// Where a call stands.
enum class guard_state : std::uint8_t
{
    admitted,  // nothing was asked of the claim log: "not run" is true
    claiming,  // a start was proposed: nothing is known until its answer
    running,   // granted and handed to the upstream: only its answer counts
    finishing, // the answer went to the caller, and is being recorded
    releasing, // granted or not, it will never start; being recorded
    ended
};

// Takes the events of one call in the order in which they happen. It asks for
// the claim, starts the call at most once and only while it holds the claim,
// and tells the caller exactly one outcome:
//
// | state when it ends | told |
// |---|---|
// | admitted | not run |
// | claiming: refused | what the verdict says |
// | claiming: given up | as releasing |
// | releasing: confirmed | not run |
// | releasing: not confirmed in time | not run if granted before, else unknown
// | | running: whole answer | completed | | running: broken | unknown; the
// claim stays, so it never runs again | | running: the upstream vouches that it
// had no effect | as releasing |
//
//     execution_guard guard(request);
//     perform(guard.begin(now, wall_ms));
//
// An answer to a proposal which doesn't come in time is reported with
// `claim_reply_lost`; the proposal is then made again, which is idempotent. The
// caller of these functions spaces out such resends. For one thread.
class execution_guard
{
public:
    explicit execution_guard(execution_request request);

    // `wall_ms` in all of these: the host's wall time in ms since 1970.
    guard_step begin(time_point now, std::uint64_t wall_ms);

    // The verdict on a proposal; `proposed_action` is what was proposed.
    guard_step claim_replied(
        time_point now,
        std::uint64_t wall_ms,
        messages::claim_command::ActionCase proposed_action,
        const messages::claim_result& result);

    guard_step claim_reply_lost(time_point now, std::uint64_t wall_ms);

    // The caller doesn't want it any more, or its time is over. A call that
    // runs isn't touched: report its end when it has one.
    guard_step cancel(std::uint64_t wall_ms, outcome_reason reason);

    // The upstream gave its whole answer. Bodies too large to keep come as a
    // digest.
    guard_step call_completed(
        std::uint64_t wall_ms, const messages::stored_answer& answer);

    // The upstream vouches that the call had no effect.
    guard_step call_refused(std::uint64_t wall_ms);

    // The call was handed over, and its answer isn't whole.
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

    // Tells once; later calls tell nothing.
    void report(guard_step& step, reported_outcome outcome);
    guard_step end(reported_outcome outcome);

    execution_request request_;
    guard_state state_ = guard_state::admitted;
    bool granted_ = false;
    bool reported_ = false;
    outcome_reason release_reason_ = outcome_reason::none;
    messages::stored_answer answer_;
};

// What an entry daemon that lost contact with the executor may tell its caller,
// by the verdict on its fence.
[[nodiscard]] reported_outcome
outcome_of_fence(const messages::claim_result& result);

} // namespace nutmegusher

#endif
