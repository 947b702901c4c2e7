// The server side of one stream.
#ifndef NUTMEGUSHER_WIRE_SERVER_STREAM_HPP
#define NUTMEGUSHER_WIRE_SERVER_STREAM_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/error.hpp"
#include "nutmegusher/wire/header.hpp"
#include "nutmegusher/wire/stream_failure.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <span>

namespace nutmegusher::wire
{

namespace internal
{
class connection;
class stream;
} // namespace internal

// A request and the response to it. One coroutine may read while another one
// writes.
class server_stream
{
public:
    server_stream(
        std::shared_ptr<internal::connection> connection,
        std::shared_ptr<internal::stream> stream);
    server_stream(const server_stream&) = delete;
    server_stream& operator=(const server_stream&) = delete;
    // Resets the stream if the response wasn't ended: the peer sees no clean
    // end.
    ~server_stream();

    [[nodiscard]] const request_head& head() const;

    // Reads at least one byte of the request's body, or 0 at its clean end.
    [[nodiscard]] boost::asio::awaitable<outcome<std::size_t, stream_failure>>
    read_some(std::span<std::byte> into);

    // Sends the response's head; `end` means that there is no body. Requires:
    // no head was written yet.
    [[nodiscard]] boost::asio::awaitable<outcome<void, stream_failure>>
    write_head(response_head head, bool end);

    // Sends a part of the body; `end` marks the last part. Waits for the peer's
    // flow-control window. Requires: the head was written, the end wasn't.
    [[nodiscard]] boost::asio::awaitable<outcome<void, stream_failure>>
    write(std::span<const std::byte> part, bool end);

    // Resets the stream: on the peer's side it fails with `reset`.
    void reset();

    // Calls `cancelled` once when the peer resets the stream or the connection
    // closes; if that has happened already, in a later turn of the event loop.
    // Not called after the response was sent completely.
    void on_cancelled(std::function<void()> cancelled);

    [[nodiscard]] bool cancelled() const;

    // The time since the stream was cancelled. Requires: `cancelled`.
    [[nodiscard]] duration time_since_cancelled() const;

    // Runs `work`, which may write the response. Ends it at its current wait
    // when the peer resets the stream or the connection closes, or, unless the
    // response has begun, when the server gives up; doesn't begin it if the
    // first has happened already. Returns false if it was ended or not begun.
    // Replaces `on_cancelled`. Requires: called by the stream's handler.
    [[nodiscard]] boost::asio::awaitable<bool>
    run_until_cancelled(boost::asio::awaitable<void> work);

    // Received bytes of the request's body that are not read yet; for dumps and
    // tests.
    [[nodiscard]] std::size_t buffered_bytes() const;

private:
    std::shared_ptr<internal::connection> connection_;
    std::shared_ptr<internal::stream> stream_;
};

} // namespace nutmegusher::wire

#endif
