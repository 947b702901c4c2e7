#include "nutmegusher/wire/client_stream.hpp"

#include "nutmegusher/wire/connection.hpp"

namespace nutmegusher::wire
{

client_stream::client_stream(
    std::shared_ptr<internal::connection> connection,
    std::shared_ptr<internal::stream> stream)
    : connection_(std::move(connection))
    , stream_(std::move(stream))
{
}

client_stream::~client_stream()
{
    connection_->abandon(*stream_);
}

boost::asio::awaitable<outcome<response_head, stream_failure>>
client_stream::read_head()
{
    const auto stream = stream_;
    for (;;)
    {
        // A failure after the complete response doesn't affect the response.
        const bool complete = stream->head_complete && stream->remote_ended;
        if (stream->failure && !complete)
        {
            co_return *stream->failure;
        }
        if (stream->head_complete)
        {
            response_head head;
            head.status = stream->status;
            head.fields = std::move(stream->request.fields);
            co_return head;
        }
        const bool notified = co_await stream->readable.wait();
        if (!notified)
        {
            co_return stream_failure::cancelled;
        }
    }
}

boost::asio::awaitable<outcome<std::size_t, stream_failure>>
client_stream::read_some(std::span<std::byte> into)
{
    return connection_->read_some(stream_, into);
}

boost::asio::awaitable<outcome<void, stream_failure>>
client_stream::write(std::span<const std::byte> part, bool end)
{
    return connection_->write(stream_, part, end);
}

std::size_t client_stream::buffered_bytes() const
{
    return stream_->inbound.size();
}

void client_stream::expire_after(duration left)
{
    auto& context = connection_->context();
    stream_->deadline = std::make_unique<internal::timer>(context, left);
    const auto expired =
        [connection = std::weak_ptr(connection_),
         stream = std::weak_ptr(stream_)](const internal::error_code& error)
    {
        const auto target = stream.lock();
        const auto owner = connection.lock();
        if (error || !target || !owner || target->remote_ended)
        {
            return;
        }
        owner->reset(*target, NGHTTP2_CANCEL, stream_failure::timed_out);
    };
    stream_->deadline->async_wait(expired);
}

void client_stream::expect_answer_soon(bool retryable)
{
    connection_->expect_answer_soon(*stream_, retryable);
}

void client_stream::cancel()
{
    const bool complete = stream_->remote_ended && stream_->local_end_queued;
    if (!complete)
    {
        connection_->reset(*stream_, NGHTTP2_CANCEL, stream_failure::cancelled);
    }
}

} // namespace nutmegusher::wire
