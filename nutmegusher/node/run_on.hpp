// Runs a coroutine on another io_context, for a coroutine that waits for it.
#ifndef NUTMEGUSHER_NODE_RUN_ON_HPP
#define NUTMEGUSHER_NODE_RUN_ON_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace nutmegusher::node
{

namespace asio = boost::asio;

// Runs `action` on the thread of `context` and resumes on the caller's executor
// when it has ended. Cancelling the caller cancels `action` on its own thread;
// the caller resumes after it has ended in any case.
//
// For `co_spawn` with `use_awaitable`, Asio emits the cancellation through a
// pointer that is dangling if `action` ends at the same moment on another
// thread.
[[nodiscard]] asio::awaitable<void>
run_on(asio::io_context& context, asio::awaitable<void> action);

namespace internal
{

template <class T>
asio::awaitable<void> store_result(
    asio::awaitable<T> action, std::shared_ptr<std::optional<T>> result)
{
    result->emplace(co_await std::move(action));
}

} // namespace internal

template <class T>
[[nodiscard]] asio::awaitable<T>
run_on(asio::io_context& context, asio::awaitable<T> action)
{
    const auto result = std::make_shared<std::optional<T>>();
    co_await run_on(context, internal::store_result(std::move(action), result));
    co_return **std::move(result);
}

} // namespace nutmegusher::node

#endif
