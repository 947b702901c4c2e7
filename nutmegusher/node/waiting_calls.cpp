#include "nutmegusher/node/waiting_calls.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace nutmegusher::node
{

namespace
{

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

} // namespace

// `verdict` and `timer` are accessed on `executor` only.
struct waiting_calls::waiter
{
    explicit waiter(const asio::any_io_executor& on)
        : executor(on)
        , timer(on)
    {
    }

    asio::any_io_executor executor;
    asio::steady_timer timer;
    std::optional<gate_verdict> verdict;

    static void wake(std::shared_ptr<waiter> self, gate_verdict verdict)
    {
        auto& executor = self->executor;
        asio::post(
            executor,
            [self = std::move(self), verdict]
            {
                self->verdict = verdict;
                self->timer.cancel();
            });
    }
};

std::shared_ptr<waiting_calls::waiter>
waiting_calls::add(ticket_id ticket, const asio::any_io_executor& executor)
{
    auto own_waiter = std::make_shared<waiter>(executor);
    waiting_.emplace(ticket, own_waiter);
    return own_waiter;
}

asio::awaitable<std::optional<gate_verdict>>
waiting_calls::wait(std::shared_ptr<waiter> own_waiter, time_point until)
{
    while (!own_waiter->verdict && host_clock().now() < until)
    {
        own_waiter->timer.expires_at(until);
        co_await own_waiter->timer.async_wait(as_tuple_awaitable);
    }
    co_return own_waiter->verdict;
}

void waiting_calls::deliver(std::span<const queue_outcome> outcomes)
{
    for (const auto& each : outcomes)
    {
        const auto found = waiting_.find(each.ticket);
        if (found == waiting_.end())
        {
            continue;
        }
        const auto verdict = std::visit(
            [](const auto& value)
            {
                return gate_verdict(value);
            },
            each.verdict);
        waiter::wake(std::move(found->second), verdict);
        waiting_.erase(found);
    }
}

bool waiting_calls::withdraw(ticket_id ticket)
{
    const auto found = waiting_.find(ticket);
    if (found == waiting_.end())
    {
        return false;
    }
    waiter::wake(std::move(found->second), caller_left());
    waiting_.erase(found);
    return true;
}

} // namespace nutmegusher::node
