// The caller's end of one stream.
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

// One request and its response. One coroutine may read while another one
// writes; the stream must outlive both. A cancelled operation fails with
// `cancelled` and leaves the stream usable.
class client_stream
{
public:
    client_stream(
        std::shared_ptr<internal::connection> connection,
        std::shared_ptr<internal::stream> stream);
    client_stream(const client_stream&) = delete;
    client_stream& operator=(const client_stream&) = delete;
    // Cancels what is unfinished.
    ~client_stream();

    // The response's head. Its fields are handed over, so call it once; a
    // later call gives the status only.
    [[nodiscard]] boost::asio::awaitable<outcome<response_head, stream_failure>>
    read_head();

    // At least one byte of the response's body, or 0 at its clean end. A body
    // that is shorter than its content-length, or reset, fails.
    [[nodiscard]] boost::asio::awaitable<outcome<std::size_t, stream_failure>>
    read_some(std::span<std::byte> into);

    // Writes a part of the request's body; `end` makes it the last one. Waits
    // for the peer's window, so that memory stays bounded; returns when the
    // bytes are taken over, not when they have arrived.
    [[nodiscard]] boost::asio::awaitable<outcome<void, stream_failure>>
    write(std::span<const std::byte> part, bool end);

    // Bytes of the response's body that wait to be read; for dumps and tests.
    [[nodiscard]] std::size_t buffered_bytes() const;

    // After `left` whatever isn't complete fails with `timed_out`, and the
    // peer is told to stop.
    void expire_after(duration left);

    // The answer is due within fractions of a second, so silence is noticed
    // early. `retryable`: the request can be sent again elsewhere, so it fails
    // with `silent` once the session is suspect, long before the session is
    // given up. Pattern of failure: a host loses power with calls on it;
    // without this each of them waits out its time limit, 124 sub-calls on a
    // day on which every second daemon was lost for two seconds.
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
