#include "nutmegusher/node/call.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace nutmegusher::node
{

namespace
{

constexpr std::size_t max_token_length = 128;
constexpr std::string_view own_prefix = "nutmeg-";
// One day. A larger number is taken for a mistake and rejected.
constexpr std::uint32_t max_milliseconds = 86400000;

struct reason_text
{
    call_reason reason;
    std::string_view text;
    unsigned status;
};

constexpr std::array reasons{
    reason_text{call_reason::bad_request, "bad-request", 400},
    reason_text{call_reason::missing_key, "missing-key", 400},
    reason_text{call_reason::missing_customer, "missing-customer", 400},
    reason_text{call_reason::bad_header, "bad-header", 400},
    reason_text{call_reason::no_such_class, "no-such-class", 404},
    reason_text{call_reason::no_such_service, "no-such-service", 404},
    reason_text{call_reason::no_such_route, "no-such-route", 404},
    reason_text{call_reason::unknown_key, "unknown-key", 401},
    reason_text{call_reason::in_progress, "in-progress", 409},
    reason_text{call_reason::key_reused, "key-reused", 422},
    reason_text{call_reason::too_large, "too-large", 413},
    reason_text{call_reason::no_room, "no-room", 503},
    reason_text{call_reason::fair_share, "fair-share", 429},
    reason_text{call_reason::over_quota, "over-quota", 429},
    reason_text{call_reason::overload, "overload", 503},
    reason_text{call_reason::overload_deeper, "overload-deeper", 503},
    reason_text{call_reason::leaving, "leaving", 503},
    reason_text{call_reason::no_upstream, "no-upstream", 503},
    reason_text{call_reason::quarantined, "quarantined", 503},
    reason_text{call_reason::other_upstream, "other-upstream", 503},
    reason_text{call_reason::starting, "starting", 503},
    reason_text{call_reason::claims_unavailable, "claims-unavailable", 503},
    reason_text{call_reason::quota_unavailable, "quota-unavailable", 503},
    reason_text{call_reason::configuration_old, "configuration-old", 503},
    reason_text{call_reason::deadline, "deadline", 504},
    reason_text{call_reason::upstream_refused, "upstream-refused", 503},
    reason_text{call_reason::upstream_failed, "upstream-failed", 502},
    reason_text{call_reason::answer_broken, "answer-broken", 502},
    reason_text{call_reason::connection_lost, "connection-lost", 502},
    reason_text{call_reason::cancelled, "cancelled", 499},
};

const reason_text& find_reason(call_reason reason)
{
    const auto* const found = std::find_if(
        reasons.begin(),
        reasons.end(),
        [reason](const reason_text& entry)
        {
            return entry.reason == reason;
        });
    return *found;
}

template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value{};
    const auto* const end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, value);
    if (text.empty() || code != std::errc() || rest != end)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string_view to_string(call_outcome outcome)
{
    switch (outcome)
    {
    case call_outcome::completed:
        return "completed";
    case call_outcome::not_run:
        return "not-run";
    case call_outcome::unknown:
        break;
    }
    return "unknown";
}

std::string_view to_string(call_reason reason)
{
    return find_reason(reason).text;
}

std::optional<call_outcome> parse_outcome(std::string_view text)
{
    for (const auto outcome :
         {call_outcome::completed,
          call_outcome::not_run,
          call_outcome::unknown})
    {
        if (to_string(outcome) == text)
        {
            return outcome;
        }
    }
    return std::nullopt;
}

std::optional<call_reason> parse_reason(std::string_view text)
{
    const auto* const found = std::find_if(
        reasons.begin(),
        reasons.end(),
        [text](const reason_text& entry)
        {
            return entry.text == text;
        });
    return found == reasons.end() ? std::nullopt : std::optional(found->reason);
}

unsigned status_of(call_reason reason)
{
    return find_reason(reason).status;
}

wire::response_head to_head(const refusal& refused)
{
    wire::response_head head;
    head.status = status_of(refused.reason);
    const auto add = [&head](std::string_view name, std::string_view value)
    {
        head.fields.push_back({std::string(name), std::string(value)});
    };
    add(field::outcome, to_string(refused.result));
    add(field::reason, to_string(refused.reason));
    if (refused.retry_after > duration::zero())
    {
        const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(refused.retry_after);
        add(field::retry_after, std::to_string(seconds.count()));
        add(field::retry_after_ms, to_milliseconds(refused.retry_after));
    }
    return head;
}

std::optional<refusal> refusal_of(const wire::response_head& head)
{
    const auto outcome = wire::find_header(head.fields, field::outcome);
    const auto reason = wire::find_header(head.fields, field::reason);
    if (!outcome || !reason)
    {
        return std::nullopt;
    }
    const auto parsed_outcome = parse_outcome(*outcome);
    const auto parsed_reason = parse_reason(*reason);
    if (!parsed_outcome || !parsed_reason ||
        *parsed_outcome == call_outcome::completed)
    {
        return std::nullopt;
    }
    refusal refused{*parsed_reason, *parsed_outcome, duration::zero()};
    if (const auto after =
            wire::find_header(head.fields, field::retry_after_ms))
    {
        refused.retry_after =
            parse_milliseconds(*after).value_or(duration::zero());
    }
    return refused;
}

std::optional<duration> parse_milliseconds(std::string_view text)
{
    const auto value = parse_number<std::uint32_t>(text);
    if (!value || *value > max_milliseconds)
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds(*value);
}

std::string to_milliseconds(duration time)
{
    const auto count =
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return std::to_string(std::max<std::int64_t>(count, 0));
}

std::optional<std::uint32_t> parse_count(std::string_view text)
{
    return parse_number<std::uint32_t>(text);
}

std::string to_text(const messages::attempt& attempt)
{
    return attempt.entry_host() + "/" +
           std::to_string(attempt.entry_incarnation()) + "/" +
           std::to_string(attempt.sequence());
}

std::optional<messages::attempt> parse_attempt(std::string_view text)
{
    const auto last = text.rfind('/');
    if (last == std::string_view::npos || last == 0)
    {
        return std::nullopt;
    }
    const auto middle = text.rfind('/', last - 1);
    if (middle == std::string_view::npos || middle == 0)
    {
        return std::nullopt;
    }
    const auto incarnation =
        parse_number<std::uint64_t>(text.substr(middle + 1, last - middle - 1));
    const auto sequence = parse_number<std::uint64_t>(text.substr(last + 1));
    if (!incarnation || !sequence)
    {
        return std::nullopt;
    }
    messages::attempt attempt;
    attempt.set_entry_host(std::string(text.substr(0, middle)));
    attempt.set_entry_incarnation(*incarnation);
    attempt.set_sequence(*sequence);
    return attempt;
}

bool is_token(std::string_view text)
{
    return !text.empty() && text.size() <= max_token_length &&
           std::all_of(
               text.begin(),
               text.end(),
               [](char c)
               {
                   return c > ' ' && c <= '~';
               });
}

wire::headers without_own_fields(std::span<const wire::header> fields)
{
    wire::headers kept;
    for (const auto& item : fields)
    {
        if (!item.name.starts_with(own_prefix))
        {
            kept.push_back(item);
        }
    }
    return kept;
}

} // namespace nutmegusher::node
