// The headers that daemons add to calls, and the encoding of refusals as
// answers. `docs/INTERFACE.md` describes both for users.
#ifndef NUTMEGUSHER_NODE_CALL_HPP
#define NUTMEGUSHER_NODE_CALL_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/execution/execution.hpp"
#include "nutmegusher/messages/execution.pb.h"
#include "nutmegusher/wire/wire.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace nutmegusher::node
{

namespace field
{
inline constexpr std::string_view request_id = "nutmeg-request-id";
inline constexpr std::string_view customer = "nutmeg-customer";
inline constexpr std::string_view key = "idempotency-key";
inline constexpr std::string_view timeout = "nutmeg-timeout-ms";
inline constexpr std::string_view class_name = "nutmeg-class";
inline constexpr std::string_view rank = "nutmeg-rank";
inline constexpr std::string_view repeatable = "nutmeg-repeatable";
inline constexpr std::string_view bulk = "nutmeg-bulk";
inline constexpr std::string_view attempt = "nutmeg-attempt";
inline constexpr std::string_view retry_tokens = "nutmeg-retry-tokens";
inline constexpr std::string_view admission_level = "nutmeg-admission-level";
inline constexpr std::string_view outcome = "nutmeg-outcome";
inline constexpr std::string_view reason = "nutmeg-reason";
inline constexpr std::string_view tries = "nutmeg-tries";
inline constexpr std::string_view retry_after = "retry-after";
inline constexpr std::string_view retry_after_ms = "nutmeg-retry-after-ms";
// Set by an upstream: the call that it refused had no effect.
inline constexpr std::string_view not_run = "nutmeg-not-run";
} // namespace field

// Why a call was refused or failed.
enum class call_reason : std::uint8_t
{
    bad_request,
    missing_key,
    missing_customer,
    bad_header,
    no_such_class,
    no_such_service,
    no_such_route,
    unknown_key, // no key, or one that no team has
    in_progress,
    key_reused,
    too_large,
    no_room, // the process is short of memory or of connections
    fair_share,
    over_quota, // the team has used its quota
    overload,
    overload_deeper, // a sub-call of it was refused for overload
    leaving,
    no_upstream,
    quarantined,    // upstreams have crashed while running this request
    other_upstream, // the host contacted now serves another service
    starting,
    claims_unavailable,
    quota_unavailable, // no owner of quotas has answered
    configuration_old, // a key may have been removed since
    deadline,
    upstream_refused, // the upstream refused it without running it
    upstream_failed,
    answer_broken,
    connection_lost,
    cancelled
};

[[nodiscard]] std::string_view to_string(call_outcome outcome);
[[nodiscard]] std::string_view to_string(call_reason reason);
[[nodiscard]] std::optional<call_outcome> parse_outcome(std::string_view text);
[[nodiscard]] std::optional<call_reason> parse_reason(std::string_view text);

// The HTTP status of a refusal for this reason.
[[nodiscard]] unsigned status_of(call_reason reason);

// The answer to a call that is refused or has failed. `retry_after` tells when
// a retry may succeed; zero: never.
struct refusal
{
    call_reason reason = call_reason::overload;
    call_outcome result = call_outcome::not_run;
    duration retry_after{};
};

// The head of the HTTP answer that carries the refusal.
[[nodiscard]] wire::response_head to_head(const refusal& refused);

// Parses a refusal from an answer's head; empty if the answer isn't a refusal
// made by a daemon.
[[nodiscard]] std::optional<refusal>
refusal_of(const wire::response_head& head);

// Parses a header's whole number of milliseconds; empty if it is malformed or
// longer than a day.
[[nodiscard]] std::optional<duration> parse_milliseconds(std::string_view text);
[[nodiscard]] std::string to_milliseconds(duration time);
[[nodiscard]] std::optional<std::uint32_t> parse_count(std::string_view text);

// "host/incarnation/sequence", the format of the header `nutmeg-attempt`.
[[nodiscard]] std::string to_text(const messages::attempt& attempt);
[[nodiscard]] std::optional<messages::attempt>
parse_attempt(std::string_view text);

// Whether `text` consists of 1 to 128 visible ASCII characters.
[[nodiscard]] bool is_token(std::string_view text);

// Returns the fields whose names don't start with "nutmeg-".
[[nodiscard]] wire::headers
without_own_fields(std::span<const wire::header> fields);

} // namespace nutmegusher::node

#endif
