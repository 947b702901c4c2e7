#include "nutmegusher/node/quota_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace nutmegusher::node
{

namespace
{

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);
// Many round trips; short against the time that requests wait for a token.
constexpr duration exchange_timeout = std::chrono::milliseconds(250);

} // namespace

quota_client::quota_client(worker& owner)
    : worker_(owner)
    , timer_(owner.context)
{
}

void quota_client::wake()
{
    timer_.cancel();
}

void quota_client::stop()
{
    stopped_ = true;
    worker_.shared.quotas.stop();
    wake();
}

asio::awaitable<void> quota_client::run()
{
    while (!stopped_)
    {
        const auto wait = worker_.shared.quotas.until_next_exchange();
        if (wait && *wait <= duration::zero())
        {
            co_await exchange();
            continue;
        }
        // Requests that take tokens meanwhile bring the next exchange forward.
        const auto until =
            host_clock().now() + std::min<duration>(
                                     wait.value_or(duration::max() / 4),
                                     quota_holder::refill_interval);
        timer_.expires_at(wait ? until : time_point::max());
        co_await timer_.async_wait(as_tuple_awaitable);
    }
    if (worker_.shared.quotas.until_next_exchange())
    {
        co_await exchange();
    }
}

std::optional<endpoint> quota_client::choose_target()
{
    auto named = worker_.shared.quotas.owner();
    if (named != named_by_sync_)
    {
        named_by_sync_ = named;
        target_ = named ? named : target_;
    }
    if (target_)
    {
        return target_;
    }
    const auto hosts = worker_.shared.claims.control_hosts();
    if (hosts.empty())
    {
        return std::nullopt;
    }
    return hosts[next_host_++ % hosts.size()];
}

asio::awaitable<void> quota_client::exchange()
{
    auto& gate = worker_.shared.quotas;
    const auto target = choose_target();
    const auto request =
        gate.make_request(incarnation(worker_.shared.upstream.run()));
    const auto body = request.SerializeAsString();
    outcome<std::string, wire::stream_failure> answer =
        wire::stream_failure::not_connected;
    if (target)
    {
        answer = co_await wire::call(
            worker_.peers, *target, quota_path, body, exchange_timeout);
    }
    messages::quota_reply reply;
    if (!answer || !reply.ParseFromString(*answer))
    {
        gate.on_no_reply();
        target_.reset();
        co_return;
    }
    if (gate.on_reply(reply))
    {
        target_ = target;
        co_return;
    }
    const auto hint = parse_endpoint(reply.owner());
    target_ = hint != target ? hint : std::nullopt;
}

} // namespace nutmegusher::node
