#include "nutmegusher/wire/server.hpp"

#include "nutmegusher/wire/connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detail/socket_option.hpp>

#include <unordered_map>

namespace nutmegusher::wire
{
namespace internal
{
namespace
{

using reuse_port_option =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// After accept has failed (no file descriptors, mostly) it is tried again.
constexpr std::chrono::milliseconds accept_pause{100};

} // namespace

// Shared by the server, its accepting, and its connections.
class server_state : public std::enable_shared_from_this<server_state>
{
public:
    server_state(
        asio::io_context& context,
        stream_handler handler,
        const session_options& options)
        : context_(context)
        , acceptor_(context)
        , pause_(context)
        , drained_(context)
        , handler_(std::make_shared<const stream_handler>(std::move(handler)))
        , options_(options)
    {
    }

    error_code bind(const tcp::endpoint& address, bool reuse_port)
    {
        error_code error;
        acceptor_.open(address.protocol(), error);
        if (error)
        {
            return error;
        }
        acceptor_.set_option(tcp_acceptor::reuse_address(true), error);
        if (reuse_port)
        {
            acceptor_.set_option(reuse_port_option(true), error);
        }
        acceptor_.bind(address, error);
        if (error)
        {
            return error;
        }
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
        return error;
    }

    void accept()
    {
        const auto accepted = [self = shared_from_this()](
                                  const error_code& error, tcp_socket socket)
        {
            if (!self->acceptor_.is_open())
            {
                return;
            }
            if (error)
            {
                self->accept_later();
                return;
            }
            self->serve(std::move(socket));
            self->accept();
        };
        acceptor_.async_accept(context_, accepted);
    }

    void close()
    {
        error_code ignored;
        acceptor_.close(ignored);
        pause_.cancel();
        const auto connections = std::exchange(connections_, {});
        for (const auto& [key, one] : connections)
        {
            one->dismiss();
        }
    }

    void close_intake()
    {
        error_code ignored;
        acceptor_.close(ignored);
        for (const auto& [key, one] : connections_)
        {
            one->stop_gracefully();
        }
    }

    asio::awaitable<void> stop_gracefully(duration limit)
    {
        const auto self = shared_from_this();
        close_intake();
        const auto deadline = std::chrono::steady_clock::now() + limit;
        auto woken = wake::notified;
        while (woken == wake::notified && !connections_.empty())
        {
            woken = co_await drained_.wait_until(deadline);
        }
        close();
    }

    void end_sessions()
    {
        for (const auto& [key, one] : connections_)
        {
            one->stop_unconfirmed();
        }
    }

    void give_up()
    {
        for (const auto& [key, one] : connections_)
        {
            one->give_up();
        }
    }

    [[nodiscard]] tcp::endpoint local_endpoint() const
    {
        error_code ignored;
        return acceptor_.local_endpoint(ignored);
    }

    [[nodiscard]] std::size_t open_streams() const
    {
        std::size_t sum = 0;
        for (const auto& [key, one] : connections_)
        {
            sum += one->streams_in_flight();
        }
        return sum;
    }

    [[nodiscard]] std::size_t connections() const
    {
        return connections_.size();
    }

private:
    void accept_later()
    {
        pause_.expires_after(accept_pause);
        const auto again = [self = shared_from_this()](const error_code& error)
        {
            if (!error && self->acceptor_.is_open())
            {
                self->accept();
            }
        };
        pause_.async_wait(again);
    }

    void serve(tcp_socket socket)
    {
        if (connections_.size() >= options_.max_connections)
        {
            return;
        }
        const auto made = std::make_shared<connection>(
            context_, std::move(socket), side::server, options_);
        connections_.emplace(made.get(), made);
        const std::weak_ptr<server_state> weak_self = weak_from_this();
        const std::weak_ptr<connection> weak_made = made;
        connection_hooks hooks;
        hooks.request_begun =
            [weak_self, weak_made](std::shared_ptr<stream> begun)
        {
            const auto self = weak_self.lock();
            const auto owner = weak_made.lock();
            if (self && owner)
            {
                self->run_handler(owner, std::move(begun));
            }
        };
        hooks.closed = [weak_self, key = made.get()]
        {
            const auto self = weak_self.lock();
            if (self)
            {
                self->connections_.erase(key);
                self->drained_.notify();
            }
        };
        made->set_hooks(std::move(hooks));
        made->limit_handshake(options_.connect_timeout);
        made->start();
    }

    void run_handler(
        const std::shared_ptr<connection>& owner, std::shared_ptr<stream> begun)
    {
        owner->handler_started();
        auto handle = std::make_shared<server_stream>(owner, std::move(begun));
        // The coroutine refers to the handler's own state.
        auto finished =
            [owner, handler = handler_](const std::exception_ptr& /*thrown*/)
        {
            // Whatever it was, the stream is reset where it isn't ended.
            owner->handler_finished();
        };
        asio::co_spawn(
            context_, (*handler_)(std::move(handle)), std::move(finished));
    }

    asio::io_context& context_;
    tcp_acceptor acceptor_;
    timer pause_;
    signal drained_;
    std::shared_ptr<const stream_handler> handler_;
    session_options options_;
    std::unordered_map<connection*, std::shared_ptr<connection>> connections_;
};

} // namespace internal

leaf::result<std::unique_ptr<server>> server::listen(
    boost::asio::io_context& context,
    const boost::asio::ip::tcp::endpoint& address,
    stream_handler handler,
    session_options options,
    bool reuse_port)
{
    const auto state = std::make_shared<internal::server_state>(
        context, std::move(handler), options);
    const auto error = state->bind(address, reuse_port);
    if (error)
    {
        return leaf::new_error(listen_failure{address, error});
    }
    state->accept();
    return std::make_unique<server>(state);
}

server::server(std::shared_ptr<internal::server_state> state)
    : state_(std::move(state))
{
}

server::~server()
{
    state_->close();
}

boost::asio::ip::tcp::endpoint server::local_endpoint() const
{
    return state_->local_endpoint();
}

void server::close_intake()
{
    state_->close_intake();
}

boost::asio::awaitable<void> server::stop_gracefully(duration limit)
{
    return state_->stop_gracefully(limit);
}

void server::end_sessions()
{
    state_->end_sessions();
}

void server::give_up()
{
    state_->give_up();
}

std::size_t server::open_streams() const
{
    return state_->open_streams();
}

std::size_t server::connections() const
{
    return state_->connections();
}

} // namespace nutmegusher::wire
