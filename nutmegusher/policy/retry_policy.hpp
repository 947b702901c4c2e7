// Whether a failed try is made again, and how many tokens a call takes along.
//
// Pattern of load: retries help where one upstream is bad and harm where all
// are full. So a refusal for overload is retried only where another upstream
// is known to let the call in; a call that may not be repeated only when it
// certainly was not run; and nothing that can no longer finish in time.
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
    // The upstream takes no new work.
    leaving,
    // No connection came about.
    not_connected,
    // The connection broke or went silent during the call.
    connection_lost,
    // The answer broke off, or belongs to another call.
    answer_broken,
    // The upstream answered that it failed.
    upstream_failed,
    // The deadline passed.
    deadline,
    // The call ran, and one of its sub-calls was refused for overload: another
    // upstream here would meet the same full service.
    overload_deeper
};

struct failed_try
{
    try_failure how = try_failure::upstream_failed;
    // The class may run more than once.
    bool repeatable = false;
    // The other side vouches that it wasn't run, or was never sent.
    bool certainly_not_run = false;
    // What the request has left at this hop.
    std::uint32_t tokens = 0;
    duration time_left{0};
    // What a run takes here, most likely; zero where unknown.
    duration expected_time{0};
    // An upstream that wasn't tried would take it: `has_alternative`.
    bool has_alternative = false;
    // Tries made at this hop, this one included.
    std::uint32_t tries = 1;
};

// At another upstream, now. Costs one token.
struct retry_at_once
{
    friend bool operator==(retry_at_once, retry_at_once) = default;
};

// After a pause, at whichever upstream is best then. Costs one token.
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

// The mean pause before the first retry where no other upstream is left: a
// new connection takes about 1 ms, a restarted listener some more. It doubles
// with each try.
inline constexpr duration first_pause = std::chrono::milliseconds(5);

[[nodiscard]] retry_decision
decide_retry(const failed_try& failed, random_engine& engine);

// How a hop divides its tokens between itself and the call that it sends.
struct token_split
{
    std::uint32_t kept = 0;
    std::uint32_t sent = 0;

    friend bool operator==(token_split, token_split) = default;
};

// Most go down, as a retry near the fault repeats the least work, and what is
// left comes back with the answer. One of several stays here for the case
// that no answer comes back; the tokens of a lost answer are lost. The last
// one goes down.
[[nodiscard]] token_split split_tokens(std::uint32_t tokens);

} // namespace nutmegusher

#endif
