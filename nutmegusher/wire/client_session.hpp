// The client side of one connection to a peer.
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

// Opens streams to one peer over one connection. When the last owner releases
// the session, the connection closes as soon as its streams are finished.
class client_session
{
public:
    // Connects and waits for the peer's SETTINGS, so that a process that
    // accepts connections but doesn't respond isn't taken for a live one.
    // Errors: not_connected, timed_out, cancelled.
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

    // Starts a request; `end_stream` means that it has no body. Errors:
    // not_connected if the session isn't usable, refused if the peer's stream
    // limit is reached, too_large if the head exceeds the size limit.
    [[nodiscard]] outcome<std::unique_ptr<client_stream>, stream_failure>
    open(const request_head& head, bool end_stream);

    // Confirms that the peer is alive, before a request that must not be sent
    // twice. Succeeds if data was received within `recent_receive_window`, or
    // arrives now in answer to a PING. Without this check the first request on
    // a session that has gone silent is lost, and nobody can tell whether it
    // ran. Errors: silent if nothing arrives within `confirm_timeout`, which
    // makes the session suspect; cancelled; otherwise the reason why the
    // connection closed.
    [[nodiscard]] boost::asio::awaitable<outcome<void, stream_failure>>
    confirm();

    // Returns false if the session is going away, suspect or closed.
    [[nodiscard]] bool usable() const;

    // Returns true if another stream stays within the peer's stream limit.
    [[nodiscard]] bool has_free_stream() const;

    [[nodiscard]] std::size_t open_streams() const;

    // Closes the connection at once; open streams fail with `cancelled`.
    void close();

    // Calls `closed` once, after the connection has closed.
    void on_closed(std::function<void()> closed);

private:
    std::shared_ptr<internal::connection> connection_;
};

} // namespace nutmegusher::wire

#endif
