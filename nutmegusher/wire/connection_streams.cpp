// Stream operations of a connection, called by the stream handles.
#include "nutmegusher/wire/connection.hpp"

#include <algorithm>

namespace nutmegusher::wire::internal
{
namespace
{

// Stream ids have 31 bits and are never reused; a connection that comes near
// the end of the range is replaced.
constexpr std::uint32_t last_usable_stream_id = 0x7ff00000;

// Most heads have at most this many fields; reserving them avoids repeated
// reallocation.
constexpr std::size_t typical_field_count = 12;

// Data provider callback: moves a stream's queued bytes to nghttp2.
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

nghttp2_data_provider data_provider_for(stream& source)
{
    nghttp2_data_provider provider{};
    provider.source.ptr = &source;
    provider.read_callback = read_outbound;
    return provider;
}

} // namespace

bool connection::usable() const
{
    const bool open = ready_ && !closed_ && !going_away_ && !closing_when_idle_;
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
    if (!busy() &&
        liveness_.is_tick_too_late(liveness::awaited_response::pending) &&
        ready_)
    {
        schedule_tick();
    }
    used_since_tick_ = true;
    auto new_stream = std::make_shared<stream>(context_);
    new_stream->id = id;
    new_stream->request.fields.reserve(typical_field_count);
    streams_.emplace(id, new_stream);
    return new_stream;
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
    if (header_list_size(fields) > options_.max_header_bytes)
    {
        return stream_failure::too_large;
    }
    const auto next_id = nghttp2_session_get_next_stream_id(session_.get());
    auto new_stream = make_stream(static_cast<std::int32_t>(next_id));
    new_stream->head_submitted = true;
    new_stream->local_end_queued = end;
    const auto provider = data_provider_for(*new_stream);
    const auto id = nghttp2_submit_request(
        session_.get(),
        nullptr,
        fields.data(),
        fields.size(),
        end ? nullptr : &provider,
        nullptr);
    if (id != new_stream->id)
    {
        streams_.erase(new_stream->id);
        return stream_failure::not_connected;
    }
    schedule_flush();
    return new_stream;
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
    if (header_list_size(fields) > options_.max_header_bytes)
    {
        return stream_failure::too_large;
    }
    target.head_submitted = true;
    target.local_end_queued = end;
    const auto provider = data_provider_for(target);
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
        const auto free_bytes =
            options_.max_write_buffer_bytes -
            std::min(queued, options_.max_write_buffer_bytes);
        const auto count = std::min(free_bytes, part.size());
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
    if (target.closed || target.reset_submitted)
    {
        return;
    }
    target.reset_submitted = true;
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
    target.handle_released = true;
    const bool complete = target.remote_ended && target.local_end_queued;
    const bool answered = role_ == side::server && target.local_end_queued;
    if (complete || answered)
    {
        drop_inbound(target);
        if (target.local_end_sent)
        {
            handle_local_end(target);
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
    target.discard_inbound = true;
    const auto unread = target.inbound.size();
    target.inbound.clear();
    if (unread > 0)
    {
        consume(target.id, unread);
    }
}

} // namespace nutmegusher::wire::internal
