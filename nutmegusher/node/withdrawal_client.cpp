#include "nutmegusher/node/withdrawal_client.hpp"

#include "nutmegusher/node/run_on.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace nutmegusher::node
{

namespace
{

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

// Several commits; a control host that takes longer is silent or has no leader,
// and `withdrawal_wait` leaves time for two others.
constexpr duration per_host_timeout = std::chrono::milliseconds(300);
constexpr duration min_retry_pause = std::chrono::milliseconds(25);
constexpr duration max_retry_pause = std::chrono::seconds(1);
// Lifetimes of upstreams on one host that a process remembers as stored. One
// that was forgotten is proposed again, which changes nothing.
constexpr std::size_t max_attempts_kept = 64;

} // namespace

withdrawal_client::withdrawal_client(worker& owner)
    : worker_(owner)
{
}

asio::awaitable<bool>
withdrawal_client::store(messages::upstream_withdrawal withdrawal)
{
    if (worker_.shared.configured.control_hosts.empty())
    {
        co_return true;
    }
    co_return co_await run_on(
        worker_.context, store_here(std::move(withdrawal)));
}

asio::awaitable<bool>
withdrawal_client::store_here(messages::upstream_withdrawal withdrawal)
{
    const auto current = find_or_begin(std::move(withdrawal));
    const auto until = host_clock().now() + withdrawal_wait;
    const auto timer = std::make_shared<asio::steady_timer>(worker_.context);
    std::erase_if(
        current->waiting,
        [](const auto& each)
        {
            return each.expired();
        });
    current->waiting.push_back(timer);
    while (!current->stored && host_clock().now() < until)
    {
        timer->expires_at(until);
        co_await timer->async_wait(as_tuple_awaitable);
    }
    co_return current->stored;
}

withdrawal_client::attempt_pointer
withdrawal_client::find_or_begin(messages::upstream_withdrawal withdrawal)
{
    const lifetime of(withdrawal.upstream(), withdrawal.started());
    const auto found = attempts_.find(of);
    if (found != attempts_.end())
    {
        return found->second;
    }
    if (attempts_.size() >= max_attempts_kept)
    {
        std::erase_if(
            attempts_,
            [](const auto& each)
            {
                return each.second->stored;
            });
    }
    auto current = std::make_shared<attempt>();
    attempts_.emplace(of, current);
    worker_.tasks.spawn(propose_until_stored(current, std::move(withdrawal)));
    return current;
}

asio::awaitable<void> withdrawal_client::propose_until_stored(
    attempt_pointer current, messages::upstream_withdrawal withdrawal)
{
    const auto body = withdrawal.SerializeAsString();
    asio::steady_timer pause(worker_.context);
    auto length = min_retry_pause;
    while (!co_await propose(body))
    {
        pause.expires_after(length);
        co_await pause.async_wait(as_tuple_awaitable);
        length = std::min(2 * length, max_retry_pause);
    }
    current->stored = true;
    for (const auto& each : current->waiting)
    {
        if (const auto timer = each.lock())
        {
            timer->cancel();
        }
    }
    current->waiting.clear();
    log_event(
        event::withdrawal_stored,
        {{"upstream", std::string_view(withdrawal.upstream())}});
}

asio::awaitable<bool> withdrawal_client::propose(const std::string& body)
{
    const auto hosts = worker_.shared.claims.control_hosts();
    const auto& host = hosts.at(next_host_ % hosts.size());
    const auto answer = co_await wire::call(
        worker_.peers, host, withdrawal_path, body, per_host_timeout);
    messages::change_result result;
    const bool stored = answer && result.ParseFromString(*answer) &&
                        result.verdict() == messages::change_accepted;
    next_host_ += stored ? 0 : 1;
    co_return stored;
}

} // namespace nutmegusher::node
