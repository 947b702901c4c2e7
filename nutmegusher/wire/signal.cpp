#include "nutmegusher/wire/signal.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace nutmegusher::wire::internal
{

asio::awaitable<bool> signal::wait()
{
    const auto token = asio::as_tuple(asio::use_awaitable);
    co_await timer_.async_wait(token);
    const auto state = co_await asio::this_coro::cancellation_state;
    co_return state.cancelled() == asio::cancellation_type::none;
}

asio::awaitable<wait_result>
signal::wait_until(std::chrono::steady_clock::time_point deadline)
{
    timer_.expires_at(deadline);
    const auto token = asio::as_tuple(asio::use_awaitable);
    const auto [error] = co_await timer_.async_wait(token);
    const auto state = co_await asio::this_coro::cancellation_state;
    if (state.cancelled() != asio::cancellation_type::none)
    {
        co_return wait_result::cancelled;
    }
    co_return error ? wait_result::notified : wait_result::timed_out;
}

} // namespace nutmegusher::wire::internal
