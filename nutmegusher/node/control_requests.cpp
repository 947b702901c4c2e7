// Proposals and reads on a control host: executed here if it leads the group,
// otherwise forwarded to the leader.
#include "nutmegusher/node/claim_client.hpp"
#include "nutmegusher/node/control_loop.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher::node::internal
{

namespace
{

// Long enough for two elections with a retry each; after that the operator
// receives an error.
constexpr duration change_timeout = std::chrono::seconds(3);
// The entry daemon tries another control host after 400 ms.
constexpr duration claim_timeout = std::chrono::seconds(1);
// Daemons try another control host after 300 ms.
constexpr duration withdrawal_timeout = std::chrono::seconds(1);
constexpr duration read_timeout = std::chrono::seconds(2);
// Limits one call to a leader, as it may have become silent.
constexpr duration forward_timeout = std::chrono::milliseconds(800);
// Between two attempts while there is no leader.
constexpr duration retry_pause = std::chrono::milliseconds(30);

messages::change_result unavailable_change()
{
    messages::change_result result;
    result.set_verdict(messages::change_unavailable);
    return result;
}

messages::claim_result unavailable_claim()
{
    messages::claim_result result;
    result.set_verdict(messages::claim_unavailable);
    return result;
}

bool is_final(const std::optional<messages::change_result>& result)
{
    return result && result->verdict() != messages::change_unavailable &&
           result->verdict() != messages::change_verdict_none;
}

bool is_final(const std::optional<messages::claim_result>& result)
{
    return result && result->verdict() != messages::claim_unavailable &&
           result->verdict() != messages::claim_verdict_none;
}

} // namespace

asio::awaitable<void> control_loop::pause(duration length)
{
    asio::steady_timer timer(context_, length);
    const auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);
    co_await timer.async_wait(as_tuple_awaitable);
}

bool control_loop::leads(std::uint32_t group)
{
    bool found = false;
    with_core(
        group,
        [&found](const replica& core)
        {
            found = core.role() == replica_role::leader;
        });
    return found;
}

bool control_loop::leads_with_lease(std::uint32_t group)
{
    const auto now = host_clock().now();
    bool found = false;
    with_core(
        group,
        [&found, now](const replica& core)
        {
            found = core.holds_lease(now);
        });
    return found;
}

std::optional<asio::ip::tcp::endpoint>
control_loop::leader_address(std::uint32_t group)
{
    std::optional<asio::ip::tcp::endpoint> found;
    with_core(
        group,
        [&](const replica& core)
        {
            const auto leader = core.leader();
            if (leader && *leader != core.id())
            {
                found = transport_.find(*leader);
            }
        });
    return found;
}

asio::awaitable<std::optional<std::string>> control_loop::call_leader(
    std::uint32_t group,
    std::string_view path,
    const std::string& body,
    time_point deadline)
{
    const auto address = leader_address(group);
    const auto remaining = deadline - host_clock().now();
    if (!address || remaining <= duration::zero())
    {
        co_return std::nullopt;
    }
    const auto limit = std::min<duration>(remaining, forward_timeout);
    auto answer =
        co_await wire::call(transport_.sessions(), *address, path, body, limit);
    if (!answer)
    {
        co_return std::nullopt;
    }
    co_return std::move(*answer);
}

// An applied entry is committed, so the result for its change id is final.
// Without this check each resend of a document of 1,700 routes added another
// half megabyte to the log.
std::optional<messages::change_result>
control_loop::applied_result(const messages::change& change) const
{
    const auto* const group =
        configuration_ ? configuration_->running() : nullptr;
    if (group == nullptr || !group->machine().has_result_for(change))
    {
        return std::nullopt;
    }
    return group->machine().check(change);
}

template <class Group>
asio::awaitable<std::optional<typename Group::result_type>>
control_loop::propose_until_final(Group& group, proposal what)
{
    using result_type = typename Group::result_type;
    while (!stopped_ && host_clock().now() < what.deadline)
    {
        std::optional<result_type> result;
        if (leads(what.group))
        {
            auto entry = what.entry;
            schedule_turn();
            result = co_await group.propose(std::move(entry), what.deadline);
        }
        else if (what.forward)
        {
            result = co_await ask_leader<result_type>(
                what.group, what.leader_path, what.body, what.deadline);
        }
        if (is_final(result))
        {
            co_return result;
        }
        if (!what.forward)
        {
            break;
        }
        co_await pause(retry_pause);
    }
    co_return std::nullopt;
}

// Waits for the founding of the cluster, after which the group exists.
asio::awaitable<messages::change_result>
control_loop::propose_to_configuration(proposal what)
{
    while (!configuration_ && what.forward && !stopped_ &&
           host_clock().now() < what.deadline)
    {
        co_await pause(retry_pause);
    }
    if (!configuration_)
    {
        co_return unavailable_change();
    }
    const auto result =
        co_await propose_until_final(*configuration_, std::move(what));
    co_return result.value_or(unavailable_change());
}

asio::awaitable<messages::change_result>
control_loop::propose_change(messages::change change, bool forward)
{
    const auto self = shared_from_this();
    if (const auto problem = check_change(change))
    {
        messages::change_result result;
        result.set_verdict(messages::change_invalid);
        result.set_problem(problem->problem);
        result.set_field(problem->field);
        co_return result;
    }
    if (const auto previous_result = applied_result(change))
    {
        co_return *previous_result;
    }
    proposal what;
    what.body = change.SerializeAsString();
    *what.entry.mutable_configuration_change() = std::move(change);
    what.leader_path = "/control/lead/propose";
    what.deadline = host_clock().now() + change_timeout;
    what.forward = forward;
    co_return co_await propose_to_configuration(std::move(what));
}

asio::awaitable<messages::change_result> control_loop::propose_withdrawal(
    messages::upstream_withdrawal withdrawal, bool forward)
{
    const auto self = shared_from_this();
    // An applied entry is committed.
    if (cache_.contains(withdrawal))
    {
        messages::change_result result;
        result.set_verdict(messages::change_accepted);
        co_return result;
    }
    proposal what;
    what.body = withdrawal.SerializeAsString();
    *what.entry.mutable_withdrawal() = std::move(withdrawal);
    what.leader_path = "/control/lead/withdraw";
    what.deadline = host_clock().now() + withdrawal_timeout;
    what.forward = forward;
    co_return co_await propose_to_configuration(std::move(what));
}

asio::awaitable<messages::claim_result>
control_loop::propose_claim(messages::claim_command command, bool forward)
{
    const auto self = shared_from_this();
    if (claims_.empty())
    {
        co_return unavailable_claim();
    }
    const auto groups = static_cast<std::uint32_t>(claims_.size());
    proposal what;
    what.group = claim_group_of(command.key(), groups);
    what.body = command.SerializeAsString();
    *what.entry.mutable_claim() = std::move(command);
    what.leader_path = "/control/lead/claim";
    what.deadline = host_clock().now() + claim_timeout;
    what.forward = forward;
    auto& group = *claims_[what.group - 1];
    const auto result = co_await propose_until_final(group, std::move(what));
    co_return result.value_or(unavailable_claim());
}

asio::awaitable<messages::read_reply>
control_loop::confirm_leader(std::uint32_t group)
{
    const auto self = shared_from_this();
    const auto deadline = host_clock().now() + forward_timeout;
    std::optional<log_index> index;
    if (leads(group) && group == 0)
    {
        schedule_turn();
        index = co_await configuration_->confirm(deadline);
    }
    else if (leads(group) && group <= claims_.size())
    {
        schedule_turn();
        index = co_await claims_[group - 1]->confirm(deadline);
    }
    messages::read_reply reply;
    reply.set_confirmed(index.has_value());
    reply.set_index(index.value_or(0));
    co_return reply;
}

asio::awaitable<std::optional<log_index>>
control_loop::read_index(std::uint32_t group, time_point deadline)
{
    messages::read_request request;
    request.set_group(group);
    const auto body = request.SerializeAsString();
    while (!stopped_ && host_clock().now() < deadline)
    {
        std::optional<messages::read_reply> reply;
        if (leads(group))
        {
            reply = co_await confirm_leader(group);
        }
        else
        {
            reply = co_await ask_leader<messages::read_reply>(
                group, "/control/lead/read", body, deadline);
        }
        if (reply && reply->confirmed())
        {
            co_return reply->index();
        }
        co_await pause(retry_pause);
    }
    co_return std::nullopt;
}

asio::awaitable<bool> control_loop::confirm_configuration()
{
    const auto self = shared_from_this();
    if (!configuration_)
    {
        // This host belongs to no cluster yet, so the caller need not wait.
        co_return false;
    }
    const auto deadline = host_clock().now() + read_timeout;
    const auto index = co_await read_index(0, deadline);
    if (!index)
    {
        co_return false;
    }
    co_return co_await configuration_->wait_applied(*index, deadline);
}

asio::awaitable<messages::claim_result>
control_loop::find_claim(messages::claim_key key)
{
    const auto self = shared_from_this();
    if (claims_.empty())
    {
        co_return unavailable_claim();
    }
    const auto groups = static_cast<std::uint32_t>(claims_.size());
    const auto number = claim_group_of(key, groups);
    const auto deadline = host_clock().now() + read_timeout;
    const auto index = co_await read_index(number, deadline);
    auto& group = *claims_[number - 1];
    if (!index)
    {
        co_return unavailable_claim();
    }
    const bool applied = co_await group.wait_applied(*index, deadline);
    if (!applied || group.running() == nullptr)
    {
        co_return unavailable_claim();
    }
    co_return group.running()->machine().table().find(key);
}

} // namespace nutmegusher::node::internal
