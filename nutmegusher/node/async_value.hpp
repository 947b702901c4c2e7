// A single value that one coroutine sets and another one awaits. All on one
// thread.
#ifndef NUTMEGUSHER_NODE_ASYNC_VALUE_HPP
#define NUTMEGUSHER_NODE_ASYNC_VALUE_HPP

#include "nutmegusher/base/base.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace nutmegusher::node::internal
{

namespace asio = boost::asio;

template <class T>
class async_value
{
public:
    explicit async_value(asio::io_context& context)
        : timer_(context)
    {
    }

    // Later calls have no effect: the first value stays.
    void set(T value)
    {
        if (!value_)
        {
            value_ = std::move(value);
            timer_.cancel();
        }
    }

    // Returns nullopt if no value is set by the deadline. Requires: only one
    // coroutine waits.
    [[nodiscard]] asio::awaitable<std::optional<T>> wait(time_point deadline)
    {
        if (!value_)
        {
            timer_.expires_at(deadline);
            const auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);
            co_await timer_.async_wait(as_tuple_awaitable);
        }
        co_return std::move(value_);
    }

private:
    asio::steady_timer timer_;
    std::optional<T> value_;
};

} // namespace nutmegusher::node::internal

#endif
