// The state of one stream, shared by its connection and its handle.
#ifndef NUTMEGUSHER_WIRE_STREAM_HPP
#define NUTMEGUSHER_WIRE_STREAM_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/wire/byte_queue.hpp"
#include "nutmegusher/wire/header.hpp"
#include "nutmegusher/wire/interruptible.hpp"
#include "nutmegusher/wire/signal.hpp"
#include "nutmegusher/wire/stream_failure.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace nutmegusher::wire::internal
{

// Changed by the connection's callbacks and by the stream handles, all on one
// thread.
class stream
{
public:
    explicit stream(asio::io_context& context)
        : readable(context)
        , writable(context)
    {
    }

    // Records the failure unless one is recorded already, and wakes waiting
    // readers and writers.
    void fail(stream_failure why);

    // Posts `on_cancelled` to the event loop; it runs at most once.
    void post_cancelled(asio::io_context& context);

    [[nodiscard]] bool local_ended() const
    {
        return local_end_queued;
    }

    std::int32_t id = -1;

    // Received data. A response uses `status`; `request` holds a request's
    // head, or a response's fields.
    request_head request;
    unsigned status = 0;
    std::size_t head_bytes = 0;
    bool head_complete = false;
    bool remote_ended = false;
    bool peer_reset = false;
    byte_queue inbound;
    // See `client_stream::expect_answer_soon`.
    bool answer_due_soon = false;
    bool retryable = false;
    // No reader is left: further received data is dropped.
    bool discard_inbound = false;

    // Data to be sent.
    byte_queue outbound;
    // nghttp2 was told to stop polling `outbound` until `resume` is called.
    bool deferred = false;
    bool head_submitted = false;
    bool head_sent = false;
    bool local_end_queued = false;
    bool local_end_sent = false;
    // RST_STREAM is queued; a second one could name a stream that the peer has
    // never seen.
    bool reset_submitted = false;
    // The stream handle was destroyed; what the peer still sends isn't needed.
    bool handle_released = false;

    // nghttp2 has closed the stream, or the connection is closed.
    bool closed = false;
    // When it was closed before its response was sent completely.
    time_point cancelled_at;
    std::optional<stream_failure> failure;

    signal readable;
    signal writable;
    std::function<void()> on_cancelled;
    // The work of the handler of a server's stream.
    interruptible work;
    std::unique_ptr<timer> deadline;
};

} // namespace nutmegusher::wire::internal

#endif
