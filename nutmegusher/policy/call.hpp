// What the decisions know of a call.
#ifndef NUTMEGUSHER_POLICY_CALL_HPP
#define NUTMEGUSHER_POLICY_CALL_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/identifier.hpp"

#include <cstddef>
#include <cstdint>
#include <variant>

namespace nutmegusher
{

// Names one call at one daemon, for as long as it waits or runs there.
using ticket_id = number<struct ticket_tag>;

// Ranks run from 0 (refused last) to 9 (refused first).
inline constexpr std::size_t rank_count = 10;

// One call as the daemon's filters know it before it runs.
struct call_info
{
    ticket_id ticket;
    // Of the request's class; a sub-call has the rank of its request. A
    // higher number than 9 counts as 9.
    std::uint8_t rank = 0;
    // `stable_hash` of the customer, of the class and of the request id. The
    // request's is the same on every hop, so that a request which passes one
    // partial refusal passes the others as well.
    std::uint64_t customer = 0;
    std::uint64_t work_class = 0;
    std::uint64_t request = 0;
    // When the caller no longer wants the answer.
    time_point deadline;
    // The class's target latency. What of it isn't left until the deadline
    // counts as time already spent on the request. Zero: not known.
    duration target{0};
    // The class moves long transfers.
    bool bulk = false;
    // Made by an upstream for a request that has been let in already.
    bool sub_call = false;
    // May safely run more than once.
    bool repeatable = false;
};

// How a call that was admitted ended.
enum class call_result : std::uint8_t
{
    // A whole answer.
    ok,
    // A whole answer that says the upstream failed, or a broken one.
    failed,
    // The upstream itself refused for overload.
    shed_by_upstream,
    // No whole answer before the deadline.
    timed_out,
    // The caller went away.
    cancelled,
    // The call was let in, but never reached the upstream.
    never_started
};

enum class refusal_reason : std::uint8_t
{
    // The queue is full, or another call with a better rank took the place.
    overload,
    // This customer holds more of the queue than the others of its rank.
    fair_share,
    // It could not finish, or no longer can, before its deadline.
    deadline,
    // The upstream takes no new work.
    leaving
};

// The call may run now.
struct admitted
{
    friend bool operator==(admitted, admitted) = default;
};

// The call waits; a later settlement names its ticket.
struct queued
{
    friend bool operator==(queued, queued) = default;
};

// The call was not run and won't be.
struct refused
{
    refusal_reason reason = refusal_reason::overload;
    // When a later try may be let in; already spread over callers. Zero:
    // at once, elsewhere.
    duration retry_after{0};

    friend bool operator==(const refused&, const refused&) = default;
};

using decision = std::variant<admitted, queued, refused>;

// What became of a call that waited.
struct queue_outcome
{
    ticket_id ticket;
    std::variant<admitted, refused> verdict;
};

} // namespace nutmegusher

#endif
