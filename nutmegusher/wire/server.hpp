// Accepts connections of peers and runs a handler for each stream.
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

// Runs as a coroutine of its own for each stream. Where it returns or throws
// without having ended the response, the stream is reset.
using stream_handler = std::function<boost::asio::awaitable<void>(
    std::shared_ptr<server_stream> stream)>;

// The address can't be listened on.
struct listen_failure
{
    boost::asio::ip::tcp::endpoint address;
    boost::system::error_code cause;
};

class server
{
public:
    // Listens from now on; port 0 takes a free one. `reuse_port` lets each
    // thread have a server of its own on the same address.
    // Errors: listen_failure.
    [[nodiscard]] static leaf::result<std::unique_ptr<server>> listen(
        boost::asio::io_context& context,
        const boost::asio::ip::tcp::endpoint& address,
        stream_handler handler,
        session_options options,
        bool reuse_port);

    explicit server(std::shared_ptr<internal::server_state> state);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    // Closes everything at once.
    ~server();

    [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const;

    // Stops accepting and tells the peers with GOAWAY. Streams that they opened
    // before they knew are served; then each connection closes, and once
    // `connections` is 0 it stays so.
    void close_intake();

    // `close_intake`, then waits for the streams in flight, closes. What is
    // unfinished after `limit` is cut; what wasn't read by then is `refused` at
    // a peer that hears of it late.
    [[nodiscard]] boost::asio::awaitable<void> stop_gracefully(duration limit);

    // Ends the sessions of peers that haven't confirmed their end: what these
    // send from now on isn't read, and they are told so. Streams that were read
    // are served. Requires: no connection is accepted any more.
    void close_unconfirmed_sessions();

    // Has each stream in work end: its handler is told as if the peer had
    // cancelled it, and may still answer.
    void give_up();

    // Streams whose handler runs or whose response isn't sent yet.
    [[nodiscard]] std::size_t open_streams() const;

    [[nodiscard]] std::size_t connections() const;

private:
    std::shared_ptr<internal::server_state> state_;
};

} // namespace nutmegusher::wire

#endif
