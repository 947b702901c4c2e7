// The state of one stream, shared by its connection and its handle.
#ifndef NUTMEGUSHER_WIRE_STREAM_HPP
#define NUTMEGUSHER_WIRE_STREAM_HPP

#include "nutmegusher/wire/byte_queue.hpp"
#include "nutmegusher/wire/header.hpp"
#include "nutmegusher/wire/signal.hpp"
#include "nutmegusher/wire/stream_failure.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace nutmegusher::wire::internal
{

// Changed by the connection's callbacks and by the handles, all on one thread.
class stream
{
public:
    explicit stream(asio::io_context& context)
        : readable(context)
        , writable(context)
    {
    }

    // The first failure stays. Wakes whoever waits.
    void fail(stream_failure why);

    // Calls `on_cancelled` in a later turn of the loop.
    void post_cancelled(asio::io_context& context);

    [[nodiscard]] bool local_ended() const
    {
        return local_end_queued;
    }

    std::int32_t id = -1;

    // Received. A response has a status, a request the rest.
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
    // Nobody will read any more: what arrives is dropped.
    bool discard_inbound = false;

    // To be sent.
    byte_queue outbound;
    // nghttp2 was told that there is nothing to send for now.
    bool deferred = false;
    bool head_submitted = false;
    bool head_sent = false;
    bool local_end_queued = false;
    bool local_end_sent = false;
    // RST_STREAM is on its way; a second one could name a stream that the
    // peer has never heard of.
    bool reset_submitted = false;
    // The handler has gone; what the peer still sends isn't wanted.
    bool handle_released = false;

    // nghttp2 has forgotten the stream, or the connection has gone.
    bool closed = false;
    std::optional<stream_failure> failure;

    signal readable;
    signal writable;
    std::function<void()> on_cancelled;
    std::unique_ptr<timer> deadline;
};

} // namespace nutmegusher::wire::internal

#endif
