// The client side of one stream.
#ifndef NUTMEGUSHER_WIRE_CLIENT_STREAM_HPP
#define NUTMEGUSHER_WIRE_CLIENT_STREAM_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/error.hpp"
#include "nutmegusher/wire/header.hpp"
#include "nutmegusher/wire/stream_failure.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <memory>
#include <span>

namespace nutmegusher::wire
{

namespace internal
{
class connection;
class stream;
} // namespace internal

// A request and its response. One coroutine may read while another one writes;
// the stream must outlive both. A cancelled operation fails with `cancelled`
// and leaves the stream usable.
class client_stream
{
public:
    client_stream(
        std::shared_ptr<internal::connection> connection,
        std::shared_ptr<internal::stream> stream);
    client_stream(const client_stream&) = delete;
    client_stream& operator=(const client_stream&) = delete;
    // Cancels the stream unless it is complete.
    ~client_stream();

    // Returns the response's head. The fields are moved out, so call it once; a
    // later call returns only the status.
    [[nodiscard]] boost::asio::awaitable<outcome<response_head, stream_failure>>
    read_head();

    // Reads at least one byte of the response's body, or 0 at its clean end.
    // Fails when the body was reset or is shorter than its content-length.
    [[nodiscard]] boost::asio::awaitable<outcome<std::size_t, stream_failure>>
    read_some(std::span<std::byte> into);

    // Writes a part of the request's body; `end` marks the last part. Waits for
    // the peer's flow-control window, so that memory stays bounded. Returns
    // when the bytes are buffered, not when they have arrived.
    [[nodiscard]] boost::asio::awaitable<outcome<void, stream_failure>>
    write(std::span<const std::byte> part, bool end);

    // Received bytes of the response's body that are not read yet; for dumps
    // and tests.
    [[nodiscard]] std::size_t buffered_bytes() const;

    // Sets a deadline: if the stream isn't complete after `left`, it fails with
    // `timed_out` and is reset.
    void expire_after(duration left);

    // Announces that the answer is due within fractions of a second, so that
    // silence of the peer is detected early. `retryable`: the request can be
    // sent to another upstream, so the stream fails with `silent` once the
    // session is suspect, long before the session is closed.
    //
    // Pattern of failure: a host loses power with calls in flight. Without this
    // each call waits for its full time limit; 124 sub-calls did so on a day on
    // which every second daemon was lost for two seconds.
    void expect_answer_soon(bool retryable);

    // Resets the stream with CANCEL; waiting operations fail with
    // `cancelled`.
    void cancel();

private:
    std::shared_ptr<internal::connection> connection_;
    std::shared_ptr<internal::stream> stream_;
};

} // namespace nutmegusher::wire

#endif
