// The handler's end of one stream.
#ifndef NUTMEGUSHER_WIRE_SERVER_STREAM_HPP
#define NUTMEGUSHER_WIRE_SERVER_STREAM_HPP

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

// One request and the response to it. One coroutine may read while another
// one writes.
class server_stream
{
public:
    server_stream(
        std::shared_ptr<internal::connection> connection,
        std::shared_ptr<internal::stream> stream);
    server_stream(const server_stream&) = delete;
    server_stream& operator=(const server_stream&) = delete;
    // A response that wasn't ended is reset: the peer sees no clean end.
    ~server_stream();

    [[nodiscard]] const request_head& head() const;

    // At least one byte of the request's body, or 0 at its clean end.
    [[nodiscard]] boost::asio::awaitable<outcome<std::size_t, stream_failure>>
    read_some(std::span<std::byte> into);

    // Sends the response's head; `end` says that it has no body.
    // Requires: no head was written yet.
    [[nodiscard]] boost::asio::awaitable<outcome<void, stream_failure>>
    write_head(response_head head, bool end);

    // Sends a part of the body; `end` makes it the last one. Waits for the
    // peer's window. Requires: the head was written, the end wasn't.
    [[nodiscard]] boost::asio::awaitable<outcome<void, stream_failure>>
    write(std::span<const std::byte> part, bool end);

    // Breaks the response off: the peer's stream fails with `reset`.
    void reset();

    // Calls `cancelled` once when the peer has reset the stream or the
    // connection has gone; soon, if that has happened already. It isn't called
    // after the response was sent whole.
    void on_cancelled(std::function<void()> cancelled);

    [[nodiscard]] bool cancelled() const;

    // Bytes of the request's body that wait to be read; for dumps and tests.
    [[nodiscard]] std::size_t buffered_bytes() const;

private:
    std::shared_ptr<internal::connection> connection_;
    std::shared_ptr<internal::stream> stream_;
};

} // namespace nutmegusher::wire

#endif
