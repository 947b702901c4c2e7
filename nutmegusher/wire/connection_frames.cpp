// Handlers of nghttp2's callbacks. They change state and wake coroutines in a
// later turn of the event loop; no user code runs from here.
#include "nutmegusher/wire/connection.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace nutmegusher::wire::internal
{
namespace
{

// Handlers may outlive streams that the peer has reset. A peer that opens and
// resets streams rapidly must not start an unbounded number of handlers.
constexpr std::size_t max_handlers_per_stream = 2;

constexpr unsigned first_final_status = 200;

// Payload of the PING that asks the peer to confirm the shutdown notice; the
// liveness PINGs carry zeros.
constexpr std::array<std::uint8_t, 8> shutdown_ping_payload{
    's', 'h', 'u', 't', 'd', 'o', 'w', 'n'};

bool is_shutdown_ping(const nghttp2_frame& frame)
{
    return std::ranges::equal(frame.ping.opaque_data, shutdown_ping_payload);
}

stream_failure close_failure(const stream& closed, std::uint32_t code)
{
    if (code == NGHTTP2_REFUSED_STREAM && !closed.head_complete)
    {
        return stream_failure::refused;
    }
    if (closed.peer_reset || code == NGHTTP2_NO_ERROR)
    {
        return stream_failure::reset;
    }
    return stream_failure::protocol;
}

} // namespace

int connection::begin_headers(const nghttp2_frame& frame)
{
    const bool is_request =
        role_ == side::server && frame.headers.cat == NGHTTP2_HCAT_REQUEST;
    if (!is_request)
    {
        return 0;
    }
    if (final_goaway_sent_ && frame.hd.stream_id > last_served_stream_)
    {
        // The queued GOAWAY refuses this stream.
        return 0;
    }
    const auto limit =
        max_handlers_per_stream * options_.max_concurrent_streams;
    if (running_handlers_ + pending_requests_.size() >= limit)
    {
        nghttp2_submit_rst_stream(
            session_.get(),
            NGHTTP2_FLAG_NONE,
            frame.hd.stream_id,
            NGHTTP2_REFUSED_STREAM);
        return 0;
    }
    static_cast<void>(make_stream(frame.hd.stream_id));
    return 0;
}

int connection::header_field(
    const nghttp2_frame& frame, std::string_view name, std::string_view value)
{
    const auto target = find(frame.hd.stream_id);
    if (target == nullptr || target->head_complete)
    {
        return 0;
    }
    target->head_bytes += name.size() + value.size() + field_overhead;
    if (target->head_bytes > options_.max_header_bytes)
    {
        target->fail(stream_failure::too_large);
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    if (name == ":method")
    {
        target->request.method = value;
    }
    else if (name == ":path")
    {
        target->request.path = value;
    }
    else if (name == ":status")
    {
        std::from_chars(value.begin(), value.end(), target->status);
    }
    else if (!name.starts_with(':'))
    {
        target->request.fields.push_back(
            header{std::string(name), std::string(value)});
    }
    return 0;
}

int connection::frame_received(const nghttp2_frame& frame)
{
    const auto type = frame.hd.type;
    const bool is_ack = (frame.hd.flags & NGHTTP2_FLAG_ACK) != 0;
    const bool is_control =
        (type == NGHTTP2_PING && !is_ack) || type == NGHTTP2_RST_STREAM ||
        (type == NGHTTP2_SETTINGS && !is_ack) || type == NGHTTP2_PRIORITY ||
        (type == NGHTTP2_DATA && frame.hd.length == 0);
    if (is_control && !allows_control_frame())
    {
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    const auto target = find(frame.hd.stream_id);
    if (target != nullptr && type == NGHTTP2_HEADERS)
    {
        headers_received(frame);
    }
    if (target != nullptr && type == NGHTTP2_RST_STREAM)
    {
        target->peer_reset = true;
    }
    const bool may_end = type == NGHTTP2_HEADERS || type == NGHTTP2_DATA;
    const bool ends = (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (target != nullptr && may_end && ends)
    {
        handle_remote_end(*target);
    }
    if (type == NGHTTP2_GOAWAY)
    {
        going_away_ = true;
    }
    if (type == NGHTTP2_PING && is_ack && is_shutdown_ping(frame))
    {
        shutdown_confirmed();
    }
    if (type == NGHTTP2_SETTINGS && !is_ack && !ready_)
    {
        ready_ = true;
        ready_or_closed_.notify();
        schedule_tick();
    }
    return 0;
}

bool connection::allows_control_frame()
{
    const auto now = std::chrono::steady_clock::now();
    return control_frames_.take(now);
}

void connection::headers_received(const nghttp2_frame& frame)
{
    const auto found = streams_.find(frame.hd.stream_id);
    auto& target = *found->second;
    if (target.head_complete)
    {
        // Trailers are ignored.
        return;
    }
    target.head_complete = true;
    if (role_ == side::server)
    {
        pending_requests_.push_back(found->second);
        return;
    }
    if (target.status < first_final_status)
    {
        target.fail(stream_failure::protocol);
        return;
    }
    target.readable.notify();
}

void connection::handle_remote_end(stream& target)
{
    target.remote_ended = true;
    target.readable.notify();
}

void connection::data_received(
    std::int32_t id, std::span<const std::byte> bytes)
{
    const auto target = find(id);
    if (target == nullptr || target->discard_inbound)
    {
        nghttp2_session_consume(session_.get(), id, bytes.size());
        return;
    }
    target->inbound.push(bytes);
    target->readable.notify();
}

void connection::frame_sent(const nghttp2_frame& frame)
{
    const auto type = frame.hd.type;
    if (type == NGHTTP2_GOAWAY)
    {
        // Also reached when nghttp2 itself terminates the session.
        going_away_ = true;
        request_shutdown_confirmation();
        return;
    }
    if (type != NGHTTP2_HEADERS && type != NGHTTP2_DATA)
    {
        return;
    }
    const auto target = find(frame.hd.stream_id);
    if (target == nullptr)
    {
        return;
    }
    target->head_sent = true;
    if ((frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
    {
        target->local_end_sent = true;
        handle_local_end(*target);
    }
}

// A server that has sent its whole response resets the rest of the request.
void connection::handle_local_end(stream& target)
{
    const bool reset_needed = role_ == side::server && target.handle_released &&
                              !target.remote_ended && !target.closed;
    if (reset_needed)
    {
        nghttp2_submit_rst_stream(
            session_.get(), NGHTTP2_FLAG_NONE, target.id, NGHTTP2_NO_ERROR);
        schedule_flush();
    }
}

void connection::frame_not_sent(const nghttp2_frame& frame)
{
    const bool is_request =
        frame.hd.type == NGHTTP2_HEADERS && role_ == side::client;
    if (is_request)
    {
        stream_closed(frame.hd.stream_id, NGHTTP2_REFUSED_STREAM);
    }
}

void connection::stream_closed(std::int32_t id, std::uint32_t code)
{
    const auto found = streams_.find(id);
    if (found == streams_.end())
    {
        return;
    }
    const auto closed = found->second;
    streams_.erase(found);
    closed->closed = true;
    closed->deadline.reset();
    const bool complete = closed->remote_ended && closed->local_end_sent;
    if (!complete)
    {
        closed->fail(close_failure(*closed, code));
    }
    if (!closed->local_end_sent)
    {
        closed->cancelled_at = host_clock().now();
        closed->post_cancelled(context_);
    }
    closed->on_cancelled = nullptr;
    closed->readable.notify();
    closed->writable.notify();
}

// nghttp2 sends a PING before frames that are queued already. So the PING is
// submitted only after the notice was sent, and its answer proves that the peer
// has read the notice.
void connection::request_shutdown_confirmation()
{
    if (role_ == side::server && !final_goaway_sent_)
    {
        nghttp2_submit_ping(
            session_.get(), NGHTTP2_FLAG_NONE, shutdown_ping_payload.data());
        schedule_flush();
    }
}

void connection::shutdown_confirmed()
{
    const bool stopping = role_ == side::server && going_away_;
    if (!stopping || final_goaway_sent_)
    {
        return;
    }
    submit_final_goaway();
}

void connection::submit_final_goaway()
{
    final_goaway_sent_ = true;
    last_served_stream_ =
        nghttp2_session_get_last_proc_stream_id(session_.get());
    nghttp2_submit_goaway(
        session_.get(),
        NGHTTP2_FLAG_NONE,
        last_served_stream_,
        NGHTTP2_NO_ERROR,
        nullptr,
        0);
}

} // namespace nutmegusher::wire::internal
