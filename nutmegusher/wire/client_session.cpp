#include "nutmegusher/wire/client_session.hpp"

#include "nutmegusher/wire/connection.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>

namespace nutmegusher::wire
{

boost::asio::awaitable<outcome<std::shared_ptr<client_session>, stream_failure>>
client_session::connect(
    boost::asio::io_context& context,
    boost::asio::ip::tcp::endpoint peer,
    session_options options)
{
    const auto new_connection = std::make_shared<internal::connection>(
        context,
        internal::tcp_socket(context),
        internal::side::client,
        options);
    // Its destructor closes the connection if this coroutine is cancelled.
    auto session = std::make_shared<client_session>(new_connection);
    const auto begin = std::chrono::steady_clock::now();
    new_connection->set_handshake_timeout(
        std::min(options.tcp_connect_timeout, options.connect_timeout));
    const auto token = boost::asio::as_tuple(boost::asio::use_awaitable);
    const auto [error] =
        co_await new_connection->socket().async_connect(peer, token);
    if (new_connection->closed())
    {
        co_return new_connection->failure();
    }
    if (error)
    {
        new_connection->close(stream_failure::not_connected);
        co_return stream_failure::not_connected;
    }
    const auto spent = std::chrono::steady_clock::now() - begin;
    new_connection->set_handshake_timeout(options.connect_timeout - spent);
    new_connection->start();
    while (!new_connection->ready() && !new_connection->closed())
    {
        const bool notified = co_await new_connection->ready_or_closed().wait();
        if (!notified)
        {
            co_return stream_failure::cancelled;
        }
    }
    if (!new_connection->ready())
    {
        const bool timed_out =
            new_connection->failure() == stream_failure::timed_out;
        co_return timed_out ? stream_failure::timed_out
                            : stream_failure::not_connected;
    }
    co_return session;
}

client_session::client_session(std::shared_ptr<internal::connection> connection)
    : connection_(std::move(connection))
{
}

client_session::~client_session()
{
    if (connection_->ready())
    {
        connection_->close_when_idle();
    }
    else
    {
        connection_->close(stream_failure::cancelled);
    }
}

outcome<std::unique_ptr<client_stream>, stream_failure>
client_session::open(const request_head& head, bool end_stream)
{
    auto opened = connection_->open(head, end_stream);
    if (!opened)
    {
        return opened.error();
    }
    return std::make_unique<client_stream>(connection_, std::move(*opened));
}

boost::asio::awaitable<outcome<void, stream_failure>> client_session::confirm()
{
    return connection_->confirm();
}

bool client_session::usable() const
{
    return connection_->usable();
}

bool client_session::has_free_stream() const
{
    return connection_->has_free_stream();
}

std::size_t client_session::open_streams() const
{
    return connection_->open_streams();
}

void client_session::close()
{
    connection_->close(stream_failure::cancelled);
}

void client_session::on_closed(std::function<void()> closed)
{
    internal::connection_callbacks callbacks;
    callbacks.closed = std::move(closed);
    connection_->set_callbacks(std::move(callbacks));
}

} // namespace nutmegusher::wire
