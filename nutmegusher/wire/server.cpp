#include "nutmegusher/wire/server.hpp"

#include "nutmegusher/wire/connection.hpp"
#include "nutmegusher/wire/task_group.hpp"

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

// Delay before accept is retried after a failure, which is mostly a lack of
// file descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{100};

} // namespace

// Shared by the server, its accept loop and its connections.
class server_state : public std::enable_shared_from_this<server_state>
{
public:
    server_state(
        asio::io_context& context,
        stream_handler handler,
        const session_options& options)
        : context_(context)
        , acceptor_(context)
        , accept_retry_timer_(context)
        , connection_closed_(context)
        , handlers_(context)
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
                self->schedule_accept_retry();
                return;
            }
            self->serve_connection(std::move(socket));
            self->accept();
        };
        acceptor_.async_accept(context_, accepted);
    }

    void close()
    {
        error_code ignored;
        acceptor_.close(ignored);
        accept_retry_timer_.cancel();
        const auto connections = std::exchange(connections_, {});
        for (const auto& [key, each_connection] : connections)
        {
            each_connection->close_with_goaway();
        }
    }

    void close_intake()
    {
        error_code ignored;
        acceptor_.close(ignored);
        for (const auto& [key, each_connection] : connections_)
        {
            each_connection->stop_gracefully();
        }
    }

    asio::awaitable<void> stop_gracefully(duration limit)
    {
        const auto self = shared_from_this();
        close_intake();
        const auto deadline = std::chrono::steady_clock::now() + limit;
        auto woken = wait_result::notified;
        while (woken == wait_result::notified && !connections_.empty())
        {
            woken = co_await connection_closed_.wait_until(deadline);
        }
        close();
    }

    void close_unconfirmed_sessions()
    {
        for (const auto& [key, each_connection] : connections_)
        {
            each_connection->stop_without_confirmation();
        }
    }

    void give_up()
    {
        for (const auto& [key, each_connection] : connections_)
        {
            each_connection->give_up();
        }
    }

    asio::awaitable<void> end()
    {
        const auto self = shared_from_this();
        close();
        co_await handlers_.end();
    }

    [[nodiscard]] std::size_t running_handlers() const
    {
        return handlers_.size();
    }

    [[nodiscard]] tcp::endpoint local_endpoint() const
    {
        error_code ignored;
        return acceptor_.local_endpoint(ignored);
    }

    [[nodiscard]] std::size_t open_streams() const
    {
        std::size_t sum = 0;
        for (const auto& [key, each_connection] : connections_)
        {
            sum += each_connection->streams_in_flight();
        }
        return sum;
    }

    [[nodiscard]] std::size_t connections() const
    {
        return connections_.size();
    }

private:
    void schedule_accept_retry()
    {
        accept_retry_timer_.expires_after(accept_retry_delay);
        const auto retry = [self = shared_from_this()](const error_code& error)
        {
            if (!error && self->acceptor_.is_open())
            {
                self->accept();
            }
        };
        accept_retry_timer_.async_wait(retry);
    }

    void serve_connection(tcp_socket socket)
    {
        if (connections_.size() >= options_.max_connections)
        {
            return;
        }
        const auto new_connection = std::make_shared<connection>(
            context_, std::move(socket), side::server, options_);
        connections_.emplace(new_connection.get(), new_connection);
        const std::weak_ptr<server_state> weak_self = weak_from_this();
        const std::weak_ptr<connection> weak_connection = new_connection;
        connection_callbacks callbacks;
        callbacks.request_received =
            [weak_self, weak_connection](std::shared_ptr<stream> request)
        {
            const auto self = weak_self.lock();
            const auto owner = weak_connection.lock();
            if (self && owner)
            {
                self->run_handler(owner, std::move(request));
            }
        };
        callbacks.closed = [weak_self, key = new_connection.get()]
        {
            const auto self = weak_self.lock();
            if (self)
            {
                self->connections_.erase(key);
                self->connection_closed_.notify();
            }
        };
        new_connection->set_callbacks(std::move(callbacks));
        new_connection->set_handshake_timeout(options_.connect_timeout);
        new_connection->start();
    }

    void run_handler(
        const std::shared_ptr<connection>& owner,
        std::shared_ptr<stream> request)
    {
        auto handle = std::make_shared<server_stream>(owner, request);
        // The coroutine refers to the handler's captures, so the callback keeps
        // them alive. After any exception the destroyed handle resets the
        // stream unless its response was ended.
        const auto finished = [owner, handler = handler_]
        {
            owner->handler_finished();
        };
        auto* const own_work = &request->work;
        std::shared_ptr<interruptible> work(std::move(request), own_work);
        owner->handler_started();
        const bool started = handlers_.spawn(
            (*handler_)(std::move(handle)), std::move(work), finished);
        if (!started)
        {
            finished();
        }
    }

    asio::io_context& context_;
    tcp_acceptor acceptor_;
    timer accept_retry_timer_;
    signal connection_closed_;
    task_group handlers_;
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

void server::close_unconfirmed_sessions()
{
    state_->close_unconfirmed_sessions();
}

void server::give_up()
{
    state_->give_up();
}

boost::asio::awaitable<void> server::end()
{
    return state_->end();
}

std::size_t server::running_handlers() const
{
    return state_->running_handlers();
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
