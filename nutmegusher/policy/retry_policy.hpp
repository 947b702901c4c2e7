// Decides whether a failed try is retried, and how many retry tokens a call
// takes along.
//
// Pattern of load: retries help if one upstream is faulty and do harm if all
// are overloaded. So a refusal for overload is retried only if another upstream
// is known to admit the call, and a call that isn't idempotent only if it
// certainly wasn't run. Nothing that can no longer finish in time is retried.
#ifndef NUTMEGUSHER_POLICY_RETRY_POLICY_HPP
#define NUTMEGUSHER_POLICY_RETRY_POLICY_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/random.hpp"

#include <cstdint>
#include <variant>

namespace nutmegusher
{

// How a try failed.
enum class try_failure : std::uint8_t
{
    // Refused for overload, by the daemon or by its upstream.
    overload,
    // The upstream is shutting down and accepts no new calls.
    leaving,
    // No connection could be established.
    not_connected,
    // The connection broke or went silent during the call.
    connection_lost,
    // The answer was truncated, or belongs to another call.
    answer_broken,
    // The upstream answered with an error.
    upstream_failed,
    // The deadline passed.
    deadline,
    // The call ran, and one of its sub-calls was refused for overload: at
    // another upstream of this service it would meet the same overloaded
    // service.
    overload_deeper
};

struct failed_try
{
    try_failure how = try_failure::upstream_failed;
    // Requests of the class may run more than once.
    bool repeatable = false;
    // The other side guarantees that the call wasn't run, or it was never sent.
    bool certainly_not_run = false;
    // Retry tokens that the request has left at this hop.
    std::uint32_t tokens = 0;
    duration time_left{0};
    // Expected duration of a run at this hop; zero if unknown.
    duration expected_time{0};
    // An upstream that wasn't tried would admit it: `router::has_alternative`.
    bool has_alternative = false;
    // Number of tries at this hop, this one included.
    std::uint32_t tries = 1;
};

// Retry now, at another upstream. Costs one token.
struct retry_at_once
{
    friend bool operator==(retry_at_once, retry_at_once) = default;
};

// Retry after a pause, at the best upstream then. Costs one token.
struct retry_after
{
    duration pause{0};

    friend bool operator==(const retry_after&, const retry_after&) = default;
};

enum class no_retry_reason : std::uint8_t
{
    // It may have run, and must not run twice.
    may_have_run,
    no_tokens,
    no_time,
    // Every upstream refuses calls of this rank.
    overloaded
};

struct no_retry
{
    no_retry_reason why = no_retry_reason::no_tokens;

    friend bool operator==(no_retry, no_retry) = default;
};

using retry_decision = std::variant<retry_at_once, retry_after, no_retry>;

// Mean pause before the first retry if no other upstream is left: a new
// connection takes about 1 ms, a restarted listener somewhat more. It doubles
// with each try.
inline constexpr duration first_pause = std::chrono::milliseconds(5);

[[nodiscard]] retry_decision
decide_retry(const failed_try& failed, random_engine& engine);

// How a hop divides its retry tokens between itself and the call that it sends.
struct token_split
{
    std::uint32_t kept = 0;
    std::uint32_t sent = 0;

    friend bool operator==(token_split, token_split) = default;
};

// Most tokens go with the call, as a retry near the fault repeats the least
// work, and the unused ones return with the answer. If there are several, one
// stays here in case no answer arrives, since the tokens of a lost answer are
// lost. A single token goes with the call.
[[nodiscard]] token_split split_tokens(std::uint32_t tokens);

} // namespace nutmegusher

#endif
