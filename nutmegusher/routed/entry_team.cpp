#include "nutmegusher/routed/entry_team.hpp"

#include <algorithm>
#include <string_view>
#include <vector>

namespace nutmegusher::routed::internal
{

namespace
{

using node::call_reason;
using node::refusal;

// Syncs with another control host begin within that time.
constexpr duration retry_after_old_configuration =
    std::chrono::milliseconds(500);
// A new owner of quotas is elected within that time.
constexpr duration retry_after_no_owner = std::chrono::milliseconds(300);
// The part of a request's target that it may wait for a token.
constexpr int token_wait_divisor = 2;

std::vector<std::string_view> authorization_fields(const entry_request& request)
{
    std::vector<std::string_view> values;
    for (const auto& item : request.exchange.head().fields)
    {
        if (item.name == request.state.names.authorization)
        {
            values.emplace_back(item.value);
        }
    }
    return values;
}

bool is_configuration_too_old(const entry_request& request)
{
    const auto max_age =
        request.state.process.configured.teams.max_configuration_age;
    return max_age > duration::zero() && request.configuration_age >= max_age;
}

duration max_token_wait(const entry_request& request)
{
    const auto left = request.call.metadata.time_left();
    const auto target = request.call.metadata.target > duration::zero()
                            ? request.call.metadata.target
                            : left;
    return std::min(target, left) / token_wait_divisor;
}

} // namespace

std::optional<refusal> identify_team(entry_request& request)
{
    const auto& teams = request.view->teams();
    if (teams.empty())
    {
        return std::nullopt;
    }
    const auto fields = authorization_fields(request);
    if (fields.empty() && request.route->anonymous)
    {
        return std::nullopt;
    }
    if (is_configuration_too_old(request))
    {
        return refusal{
            call_reason::configuration_old,
            call_outcome::not_run,
            retry_after_old_configuration};
    }
    const auto key = bearer_key(fields);
    request.caller_team = key ? teams.find(key_digest::of(*key)) : nullptr;
    if (request.caller_team == nullptr)
    {
        return refusal{call_reason::unknown_key};
    }
    return std::nullopt;
}

quota_token::quota_token(entry_request& request)
    : request_(request)
{
}

quota_token::~quota_token()
{
    if (taken_ && !request_.may_have_reached_upstream())
    {
        request_.state.process.quotas.refund(request_.caller_team->name);
    }
}

asio::awaitable<std::optional<refusal>> quota_token::take()
{
    const auto* const team = request_.caller_team;
    if (team == nullptr || !team->limit.is_limited())
    {
        co_return std::nullopt;
    }
    const auto result = co_await request_.state.process.quotas.take(
        team->name, max_token_wait(request_));
    taken_ = result.state == token_state::taken;
    if (taken_)
    {
        co_return std::nullopt;
    }
    if (result.state == token_state::refused)
    {
        co_return refusal{
            call_reason::over_quota, call_outcome::not_run, result.retry_after};
    }
    co_return refusal{
        call_reason::quota_unavailable,
        call_outcome::not_run,
        jittered(retry_after_no_owner, request_.worker.random)};
}

} // namespace nutmegusher::routed::internal
