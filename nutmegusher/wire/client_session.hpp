// One connection to a peer, on the side that opened it.
#ifndef NUTMEGUSHER_WIRE_CLIENT_SESSION_HPP
#define NUTMEGUSHER_WIRE_CLIENT_SESSION_HPP

#include "nutmegusher/wire/client_stream.hpp"
#include "nutmegusher/wire/session_options.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace nutmegusher::wire
{

// Streams to one peer over one connection. The last owner that lets go of it
// closes it as soon as its streams are finished.
class client_session
{
public:
    // Connects and waits for the peer's SETTINGS, so that a process which
    // accepts but doesn't answer isn't taken for a live one.
    // Errors: not_connected, timed_out.
    [[nodiscard]] static boost::asio::awaitable<
        outcome<std::shared_ptr<client_session>, stream_failure>>
    connect(
        boost::asio::io_context& context,
        boost::asio::ip::tcp::endpoint peer,
        session_options options);

    explicit client_session(std::shared_ptr<internal::connection> connection);
    client_session(const client_session&) = delete;
    client_session& operator=(const client_session&) = delete;
    ~client_session();

    // Starts a request; `end_stream` says that it has no body.
    // Errors: not_connected where the session isn't usable, refused where the
    // peer's limit of streams is reached, too_large for the head.
    [[nodiscard]] outcome<std::unique_ptr<client_stream>, stream_failure>
    open(const request_head& head, bool end_stream);

    // Proof that the peer is there, before a request that may not be sent
    // again: something was received within `recent_receive_window`, or comes
    // now in answer to a PING. Without it the first request on a session that
    // has gone silent is lost, and nobody can tell whether it ran. Errors:
    // silent where nothing comes within `confirm_timeout`, and the session is
    // suspect; otherwise why it closed.
    [[nodiscard]] boost::asio::awaitable<outcome<void, stream_failure>>
    confirm();

    // False when going away, suspect or closed.
    [[nodiscard]] bool usable() const;

    // True where `open` wouldn't pass the peer's limit of streams.
    [[nodiscard]] bool has_free_stream() const;

    [[nodiscard]] std::size_t open_streams() const;

    // Closes the connection now; open streams fail with `cancelled`.
    void close();

    // Calls `closed` once after the connection has closed.
    void on_closed(std::function<void()> closed);

private:
    std::shared_ptr<internal::connection> connection_;
};

} // namespace nutmegusher::wire

#endif
