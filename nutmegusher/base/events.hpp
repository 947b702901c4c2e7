// Numbered log events. `docs/EVENTS.md` describes each of them; a test checks
// that the two agree.
//
//     log_event(
//         event::control_leader_elected,
//         {{"host", host.str()}, {"term", term}});
//
// Each event is written at most `rate_limit` times a second, so that a surge of
// requests doesn't cause a surge of writes. The next line that is written
// contains the number of suppressed lines in its field `left_out`.
#ifndef NUTMEGUSHER_BASE_EVENTS_HPP
#define NUTMEGUSHER_BASE_EVENTS_HPP

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace nutmegusher
{

// Severity of an event.
enum class severity : std::uint8_t
{
    info,    // a normal change of state
    warning, // the process continues in a degraded state
    error    // something was lost or refused that should not be
};

// All events that a process can log. 1xx: process; 2xx: configuration and
// control; 3xx: membership; 4xx: requests; 5xx: execution; 6xx: connections.
enum class event : std::uint16_t
{
    process_started = 100,
    process_stopping = 101,
    process_stopped = 102,
    settings_refused = 103,
    process_stop_step = 104,
    configuration_in_force = 200,
    control_unreachable = 201,
    control_reached = 202,
    control_leader_elected = 203,
    control_stepped_down = 204,
    control_change_accepted = 205,
    control_change_refused = 206,
    control_log_tail_cut = 207,
    control_storage_failed = 208,
    control_snapshot_taken = 209,
    control_membership_changed = 210,
    control_host_not_admitted = 211,
    control_member_lags = 212,
    control_member_caught_up = 213,
    control_host_behind = 214,
    control_host_current = 215,
    control_moved = 216,
    configuration_may_be_old = 217,
    configuration_current = 218,
    quarantine_not_kept = 219,
    quotas_owned = 220,
    team_cut = 221,
    upstream_announced = 300,
    upstream_leaving = 301,
    upstream_lost = 302,
    upstream_pressed = 303,
    run_was_overtaken = 304,
    upstream_ended = 305,
    upstream_limited = 306,
    repeats_exhausted = 307,
    upstream_pace = 308,
    report_rejected = 309,
    withdrawal_stored = 310,
    withdrawal_not_stored = 311,
    request_refused = 400,
    answer_broken = 401,
    request_unknown = 402,
    request_unanswered = 403,
    request_quarantined = 404,
    request_cancelled = 405,
    memory_short = 406,
    request_given_up = 407,
    claim_refused = 500,
    claim_unreachable = 501,
    outcome_not_recorded = 502,
    connection_silent = 600,
    connection_failed = 601,
};

// Name and severity of an event.
struct event_description
{
    event id;
    std::string_view name;
    severity level;
};

// All events, in ascending order of their numbers.
[[nodiscard]] std::span<const event_description> all_events();

// Returns the name and severity of `id`. Requires: `id` is one of the
// enumerators.
[[nodiscard]] const event_description& describe(event id);

// A typed field of a log line.
struct event_field
{
    std::string_view key;
    std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>
        value;
};

enum class log_format : std::uint8_t
{
    json, // one object per line
    text  // key=value pairs
};

// Lines per event and second; further lines are only counted.
inline constexpr std::uint32_t default_event_rate_limit = 20;

// Starts to write events to standard output in `format`. `process` is added to
// each line. Call once, before threads start.
void start_logging(
    log_format format,
    std::string_view process,
    std::uint32_t rate_limit = default_event_rate_limit);

// Writes one event, subject to the rate limit; does nothing before
// `start_logging`. Thread-safe; reports no errors.
void log_event(event id, std::initializer_list<event_field> fields);

// Formats the line of an event without writing it.
[[nodiscard]] std::string
format_event(log_format format, event id, std::span<const event_field> fields);

} // namespace nutmegusher

#endif
