// A call as the admission and routing decisions see it, and the decisions made
// on it.
#ifndef NUTMEGUSHER_POLICY_CALL_HPP
#define NUTMEGUSHER_POLICY_CALL_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/identifier.hpp"

#include <cstddef>
#include <cstdint>
#include <variant>

namespace nutmegusher
{

// Identifies one call at one daemon while it waits or runs there.
using ticket_id = number<struct ticket_tag>;

// Ranks run from 0 (refused last) to 9 (refused first).
inline constexpr std::size_t rank_count = 10;

// What the daemon's filters know about a call before it runs.
struct call_info
{
    ticket_id ticket;
    // Rank of the request's class; a sub-call has the rank of its request.
    // Values above 9 count as 9.
    std::uint8_t rank = 0;
    // `stable_hash` of the customer, of the class and of the request id. The
    // request's hash is the same on every hop, so that a request that passes a
    // partial refusal at one hop passes it at the others as well.
    std::uint64_t customer = 0;
    // `stable_hash` of the name of the team whose key the request has; 0: none.
    std::uint64_t team = 0;
    std::uint64_t work_class = 0;
    std::uint64_t request = 0;
    // After this time the caller no longer needs the answer.
    time_point deadline;
    // The class's target latency. The part of it that no longer lies before the
    // deadline counts as time already spent on the request. Zero: unknown.
    duration target{0};
    // The class consists of long transfers.
    bool bulk = false;
    // The call was made by an upstream for a request that was already admitted.
    bool sub_call = false;
    // The call may safely run more than once.
    bool repeatable = false;
};

// How an admitted call ended.
enum class call_result : std::uint8_t
{
    // A complete, successful answer.
    ok,
    // A complete answer that reports a failure of the upstream, or a broken
    // answer.
    failed,
    // The upstream itself refused the call for overload.
    shed_by_upstream,
    // No complete answer arrived before the deadline.
    timed_out,
    // The caller cancelled the call or disconnected.
    cancelled,
    // The call was admitted but never reached the upstream.
    never_started
};

enum class refusal_reason : std::uint8_t
{
    // The queue is full, the expected wait is too long, or a call with a better
    // rank took the place.
    overload,
    // The customer has more calls in the queue than the others of its rank.
    fair_share,
    // The call can't finish before its deadline.
    deadline,
    // The upstream is shutting down and takes no new work.
    leaving
};

// The call may run now.
struct admitted
{
    friend bool operator==(admitted, admitted) = default;
};

// The call waits; a later `queue_outcome` names its ticket.
struct queued
{
    friend bool operator==(queued, queued) = default;
};

// The call didn't run and won't.
struct refused
{
    refusal_reason reason = refusal_reason::overload;
    // How long the caller should wait before it retries here; already
    // randomized over callers unless the producer says otherwise. Zero: retry
    // at once on another upstream.
    duration retry_after{0};

    friend bool operator==(const refused&, const refused&) = default;
};

using decision = std::variant<admitted, queued, refused>;

// What was decided about a call that waited.
struct queue_outcome
{
    ticket_id ticket;
    std::variant<admitted, refused> verdict;
};

} // namespace nutmegusher

#endif
