// One value that one coroutine waits for; for one thread.
#ifndef NUTMEGUSHER_NODE_CONTROL_SLOT_HPP
#define NUTMEGUSHER_NODE_CONTROL_SLOT_HPP

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
class control_slot
{
public:
    explicit control_slot(asio::io_context& context)
        : timer_(context)
    {
    }

    // The first value stays.
    void set(T value)
    {
        if (!value_)
        {
            value_ = std::move(value);
            timer_.cancel();
        }
    }

    // Nothing where no value has come by the deadline. For one waiter.
    [[nodiscard]] asio::awaitable<std::optional<T>> wait(time_point deadline)
    {
        if (!value_)
        {
            timer_.expires_at(deadline);
            const auto quietly = asio::as_tuple(asio::use_awaitable);
            co_await timer_.async_wait(quietly);
        }
        co_return std::move(value_);
    }

private:
    asio::steady_timer timer_;
    std::optional<T> value_;
};

} // namespace nutmegusher::node::internal

#endif
