// The part of a connection that knows of streams.
#include "nutmegusher/wire/connection.hpp"

#include <algorithm>
#include <charconv>

namespace nutmegusher::wire::internal
{
namespace
{

// Ids are 31 bits and are never used again; a connection near the end is
// replaced.
constexpr std::uint32_t last_usable_stream_id = 0x7ff00000;

// Handlers may outlive streams that the peer has reset. A peer that opens and
// resets at once must not start handlers without bound.
constexpr std::size_t handlers_for_each_stream = 2;

constexpr unsigned first_final_status = 200;

// Hands the queued bytes of a stream to nghttp2.
ssize_t read_outbound(
    nghttp2_session* /*session*/,
    std::int32_t /*id*/,
    std::uint8_t* into,
    std::size_t size,
    std::uint32_t* flags,
    nghttp2_data_source* source,
    void* /*owner*/)
{
    auto& from = *static_cast<stream*>(source->ptr);
    if (from.outbound.empty() && !from.local_end_queued)
    {
        from.deferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    const auto bytes = std::as_writable_bytes(std::span(into, size));
    const auto count = from.outbound.pop(bytes);
    if (from.outbound.empty() && from.local_end_queued)
    {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    from.writable.notify();
    return static_cast<ssize_t>(count);
}

nghttp2_data_provider provider_of(stream& source)
{
    nghttp2_data_provider provider{};
    provider.source.ptr = &source;
    provider.read_callback = read_outbound;
    return provider;
}

stream_failure failure_of(const stream& closed, std::uint32_t code)
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

bool connection::usable() const
{
    const bool open = ready_ && !closed_ && !going_away_ && !released_;
    if (!open || liveness_.suspect())
    {
        return false;
    }
    const auto next_id = nghttp2_session_get_next_stream_id(session_.get());
    return next_id < last_usable_stream_id;
}

bool connection::has_free_stream() const
{
    const auto limit = nghttp2_session_get_remote_settings(
        session_.get(), NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
    return streams_.size() < limit;
}

std::shared_ptr<stream> connection::make_stream(std::int32_t id)
{
    if (!busy() && liveness_.planned_for_idle() && ready_)
    {
        plan_tick();
    }
    used_since_tick_ = true;
    auto made = std::make_shared<stream>(context_);
    made->id = id;
    streams_.emplace(id, made);
    return made;
}

stream* connection::find(std::int32_t id) const
{
    const auto found = streams_.find(id);
    return found == streams_.end() ? nullptr : found->second.get();
}

outcome<std::shared_ptr<stream>, stream_failure>
connection::open(const request_head& head, bool end)
{
    if (!usable())
    {
        return stream_failure::not_connected;
    }
    if (!has_free_stream())
    {
        return stream_failure::refused;
    }
    const auto fields = to_h2(head);
    if (size_of(fields) > options_.max_header_bytes)
    {
        return stream_failure::too_large;
    }
    const auto next_id = nghttp2_session_get_next_stream_id(session_.get());
    auto made = make_stream(static_cast<std::int32_t>(next_id));
    made->head_submitted = true;
    made->local_end_queued = end;
    const auto provider = provider_of(*made);
    const auto id = nghttp2_submit_request(
        session_.get(),
        nullptr,
        fields.data(),
        fields.size(),
        end ? nullptr : &provider,
        nullptr);
    if (id != made->id)
    {
        streams_.erase(made->id);
        return stream_failure::not_connected;
    }
    schedule_flush();
    return made;
}

outcome<void, stream_failure>
connection::send_head(stream& target, const response_head& head, bool end)
{
    if (target.failure)
    {
        return *target.failure;
    }
    if (target.closed || target.head_submitted)
    {
        return stream_failure::reset;
    }
    std::string status_text;
    const auto fields = to_h2(head, status_text);
    if (size_of(fields) > options_.max_header_bytes)
    {
        return stream_failure::too_large;
    }
    target.head_submitted = true;
    target.local_end_queued = end;
    const auto provider = provider_of(target);
    nghttp2_submit_response(
        session_.get(),
        target.id,
        fields.data(),
        fields.size(),
        end ? nullptr : &provider);
    schedule_flush();
    return {};
}

asio::awaitable<outcome<void, stream_failure>> connection::write(
    std::shared_ptr<stream> target, std::span<const std::byte> part, bool end)
{
    for (;;)
    {
        if (target->failure)
        {
            co_return *target->failure;
        }
        if (target->closed || target->local_end_queued)
        {
            co_return stream_failure::reset;
        }
        const auto queued = target->outbound.size();
        const auto room =
            options_.write_buffer - std::min(queued, options_.write_buffer);
        const auto count = std::min(room, part.size());
        target->outbound.push(part.first(count));
        part = part.subspan(count);
        const bool all = part.empty();
        target->local_end_queued = all && end;
        resume(*target);
        if (all)
        {
            co_return outcome<void, stream_failure>();
        }
        const bool notified = co_await target->writable.wait();
        if (!notified)
        {
            co_return stream_failure::cancelled;
        }
    }
}

asio::awaitable<outcome<std::size_t, stream_failure>>
connection::read_some(std::shared_ptr<stream> source, std::span<std::byte> into)
{
    for (;;)
    {
        const auto count = source->inbound.pop(into);
        if (count > 0)
        {
            consume(source->id, count);
            co_return count;
        }
        if (source->remote_ended)
        {
            co_return std::size_t{0};
        }
        if (source->failure)
        {
            co_return *source->failure;
        }
        const bool notified = co_await source->readable.wait();
        if (!notified)
        {
            co_return stream_failure::cancelled;
        }
    }
}

void connection::reset(stream& target, std::uint32_t code, stream_failure why)
{
    drop_inbound(target);
    if (target.closed)
    {
        return;
    }
    target.on_cancelled = nullptr;
    target.fail(why);
    nghttp2_submit_rst_stream(
        session_.get(), NGHTTP2_FLAG_NONE, target.id, code);
    schedule_flush();
}

void connection::abandon(stream& target)
{
    target.on_cancelled = nullptr;
    target.deadline.reset();
    target.released = true;
    const bool complete = target.remote_ended && target.local_end_queued;
    const bool answered = role_ == side::server && target.local_end_queued;
    if (complete || answered)
    {
        drop_inbound(target);
        if (target.local_end_sent)
        {
            local_end(target);
        }
        return;
    }
    const auto code =
        role_ == side::client ? NGHTTP2_CANCEL : NGHTTP2_INTERNAL_ERROR;
    reset(target, code, stream_failure::cancelled);
}

void connection::resume(stream& target)
{
    if (target.deferred)
    {
        target.deferred = false;
        nghttp2_session_resume_data(session_.get(), target.id);
    }
    schedule_flush();
}

void connection::consume(std::int32_t id, std::size_t bytes)
{
    if (closed_)
    {
        return;
    }
    nghttp2_session_consume(session_.get(), id, bytes);
    schedule_flush();
}

void connection::drop_inbound(stream& target)
{
    target.discard = true;
    const auto unread = target.inbound.size();
    target.inbound.clear();
    if (unread > 0)
    {
        consume(target.id, unread);
    }
}

int connection::begin_headers(const nghttp2_frame& frame)
{
    const bool is_request =
        role_ == side::server && frame.headers.cat == NGHTTP2_HCAT_REQUEST;
    if (!is_request)
    {
        return 0;
    }
    const auto limit =
        handlers_for_each_stream * options_.max_concurrent_streams;
    if (handlers_ + begun_.size() >= limit)
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
        remote_end(*target);
    }
    if (type == NGHTTP2_GOAWAY)
    {
        going_away_ = true;
    }
    if (type == NGHTTP2_PING && is_ack)
    {
        shutdown_confirmed();
    }
    if (type == NGHTTP2_SETTINGS && !is_ack && !ready_)
    {
        ready_ = true;
        opened_.notify();
        plan_tick();
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
        // Trailers; nothing here uses them.
        return;
    }
    target.head_complete = true;
    if (role_ == side::server)
    {
        begun_.push_back(found->second);
        return;
    }
    if (target.status < first_final_status)
    {
        target.fail(stream_failure::protocol);
        return;
    }
    target.readable.notify();
}

void connection::remote_end(stream& target)
{
    target.remote_ended = true;
    target.readable.notify();
}

void connection::data_received(
    std::int32_t id, std::span<const std::byte> bytes)
{
    const auto target = find(id);
    if (target == nullptr || target->discard)
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
        // Also where nghttp2 itself ends the session.
        going_away_ = true;
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
        local_end(*target);
    }
}

// A server that has answered whole doesn't want the rest of the request.
void connection::local_end(stream& target)
{
    const bool unwanted = role_ == side::server && target.released &&
                          !target.remote_ended && !target.closed;
    if (unwanted)
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
    const bool whole = closed->remote_ended && closed->local_end_sent;
    if (!whole)
    {
        closed->fail(failure_of(*closed, code));
    }
    if (!closed->local_end_sent)
    {
        closed->post_cancelled(context_);
    }
    closed->on_cancelled = nullptr;
    closed->readable.notify();
    closed->writable.notify();
}

void connection::shutdown_confirmed()
{
    const bool stopping = role_ == side::server && going_away_;
    if (!stopping || final_goaway_sent_)
    {
        return;
    }
    final_goaway_sent_ = true;
    const auto last = nghttp2_session_get_last_proc_stream_id(session_.get());
    nghttp2_submit_goaway(
        session_.get(), NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
}

} // namespace nutmegusher::wire::internal
