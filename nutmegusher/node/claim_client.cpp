#include "nutmegusher/node/claim_client.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace nutmegusher::node
{

namespace
{

// A commit takes milliseconds. A control host that takes longer is probably
// losing its leadership, and another host will know the new leader.
constexpr duration per_host_timeout = std::chrono::milliseconds(400);
// The pause between two rounds over all control hosts, while a leader is
// elected.
constexpr duration round_pause = std::chrono::milliseconds(25);

} // namespace

std::uint32_t
claim_group_of(const messages::claim_key& key, std::uint32_t groups)
{
    const auto text =
        key.customer() + '\n' + key.class_name() + '\n' + key.idempotency_key();
    return 1 + static_cast<std::uint32_t>(stable_hash(text) % groups);
}

claim_directory::claim_directory(std::vector<endpoint> control_hosts)
    : control_hosts_(std::move(control_hosts))
{
}

void claim_directory::update(
    std::vector<std::optional<endpoint>> leaders,
    std::vector<endpoint> control_hosts)
{
    const std::scoped_lock lock(mutex_);
    if (!leaders.empty())
    {
        leaders_ = std::move(leaders);
    }
    if (!control_hosts.empty())
    {
        control_hosts_ = std::move(control_hosts);
    }
}

std::vector<claim_directory::endpoint>
claim_directory::hosts_for(const messages::claim_key& key) const
{
    const std::scoped_lock lock(mutex_);
    std::vector<endpoint> hosts;
    if (!leaders_.empty())
    {
        const auto groups = static_cast<std::uint32_t>(leaders_.size());
        if (const auto& leader = leaders_[claim_group_of(key, groups) - 1])
        {
            hosts.push_back(*leader);
        }
    }
    for (const auto& host : control_hosts_)
    {
        if (hosts.empty() || host != hosts.front())
        {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::vector<claim_directory::endpoint> claim_directory::control_hosts() const
{
    const std::scoped_lock lock(mutex_);
    return control_hosts_;
}

asio::awaitable<std::optional<messages::claim_result>> propose_claim(
    wire::session_pool& peers,
    const claim_directory& directory,
    messages::claim_command command,
    duration time_left)
{
    const auto body = command.SerializeAsString();
    const auto until = host_clock().now() + time_left;
    asio::steady_timer pause(co_await asio::this_coro::executor);
    while (true)
    {
        for (const auto& host : directory.hosts_for(command.key()))
        {
            const auto remaining = until - host_clock().now();
            if (remaining <= duration::zero())
            {
                co_return std::nullopt;
            }
            const auto answer = co_await wire::call(
                peers,
                host,
                "/control/claim",
                body,
                std::min(remaining, per_host_timeout));
            messages::claim_result result;
            if (answer && result.ParseFromString(*answer) &&
                result.verdict() != messages::claim_unavailable &&
                result.verdict() != messages::claim_verdict_none)
            {
                co_return result;
            }
        }
        pause.expires_after(round_pause);
        co_await pause.async_wait(asio::use_awaitable);
    }
}

} // namespace nutmegusher::node
