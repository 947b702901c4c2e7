// Accepts connections and runs a handler for each stream that a peer opens.
#ifndef NUTMEGUSHER_WIRE_SERVER_HPP
#define NUTMEGUSHER_WIRE_SERVER_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/error.hpp"
#include "nutmegusher/wire/server_stream.hpp"
#include "nutmegusher/wire/session_options.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <functional>
#include <memory>

namespace nutmegusher::wire
{

namespace internal
{
class server_state;
} // namespace internal

// Runs as a separate coroutine for each stream. If it returns or throws before
// the response is ended, the stream is reset.
using stream_handler = std::function<boost::asio::awaitable<void>(
    std::shared_ptr<server_stream> stream)>;

// The server couldn't listen on the address.
struct listen_failure
{
    boost::asio::ip::tcp::endpoint address;
    boost::system::error_code cause;
};

class server
{
public:
    // Starts to listen; port 0 selects a free port. `reuse_port` lets each
    // thread run its own server on the same address. Errors: listen_failure.
    [[nodiscard]] static leaf::result<std::unique_ptr<server>> listen(
        boost::asio::io_context& context,
        const boost::asio::ip::tcp::endpoint& address,
        stream_handler handler,
        session_options options,
        bool reuse_port);

    explicit server(std::shared_ptr<internal::server_state> state);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    // Closes all connections at once.
    ~server();

    [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const;

    // Stops accepting connections and sends GOAWAY to the peers. Streams that a
    // peer opened before it learned of the stop are served; then its connection
    // closes. Once `connections` is 0 it stays 0.
    void close_intake();

    // Calls `close_intake`, waits for the streams in flight and closes. Streams
    // unfinished after `limit` fail with `cut`; those not read by then fail
    // with `refused` at a peer that learns of the stop only later.
    [[nodiscard]] boost::asio::awaitable<void> stop_gracefully(duration limit);

    // Ends the sessions of peers that haven't confirmed the GOAWAY: a final
    // GOAWAY refuses streams that weren't read yet, and those that were read
    // are served. Requires: the server has stopped accepting.
    void close_unconfirmed_sessions();

    // Tells the handler of each open stream to end, as if the peer had
    // cancelled the stream; the handler may still answer.
    void give_up();

    // Closes all connections at once, cancels the handlers that run and waits
    // until they have ended. Then nothing refers to what the handler uses.
    // Requires: the context runs until this has returned.
    [[nodiscard]] boost::asio::awaitable<void> end();

    // The number of streams whose handler runs or whose response isn't sent
    // completely, of open connections.
    [[nodiscard]] std::size_t open_streams() const;

    // The number of handlers that run, also those whose connection has closed.
    [[nodiscard]] std::size_t running_handlers() const;

    [[nodiscard]] std::size_t connections() const;

private:
    std::shared_ptr<internal::server_state> state_;
};

} // namespace nutmegusher::wire

#endif
