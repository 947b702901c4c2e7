#include "nutmegusher/wire/server_stream.hpp"

#include "nutmegusher/wire/connection.hpp"

namespace nutmegusher::wire
{

server_stream::server_stream(
    std::shared_ptr<internal::connection> connection,
    std::shared_ptr<internal::stream> stream)
    : connection_(std::move(connection))
    , stream_(std::move(stream))
{
}

server_stream::~server_stream()
{
    connection_->abandon(*stream_);
}

const request_head& server_stream::head() const
{
    return stream_->request;
}

boost::asio::awaitable<outcome<std::size_t, stream_failure>>
server_stream::read_some(std::span<std::byte> into)
{
    return connection_->read_some(stream_, into);
}

boost::asio::awaitable<outcome<void, stream_failure>>
server_stream::write_head(response_head head, bool end)
{
    co_return connection_->send_head(*stream_, head, end);
}

boost::asio::awaitable<outcome<void, stream_failure>>
server_stream::write(std::span<const std::byte> part, bool end)
{
    return connection_->write(stream_, part, end);
}

void server_stream::reset()
{
    connection_->reset(
        *stream_, NGHTTP2_INTERNAL_ERROR, stream_failure::cancelled);
}

void server_stream::on_cancelled(std::function<void()> cancelled)
{
    stream_->on_cancelled = std::move(cancelled);
    if (this->cancelled())
    {
        stream_->post_cancelled(connection_->context());
    }
}

bool server_stream::cancelled() const
{
    return stream_->closed && !stream_->local_end_sent;
}

duration server_stream::time_since_cancelled() const
{
    return host_clock().now() - stream_->cancelled_at;
}

namespace
{

void interrupt_when_cancelled(const std::shared_ptr<internal::stream>& target)
{
    target->on_cancelled = [weak = std::weak_ptr(target)]
    {
        const auto stream = weak.lock();
        if (!stream)
        {
            return;
        }
        if (stream->closed || !stream->head_submitted)
        {
            stream->work.interrupt();
            return;
        }
        // The server has given up, but the response has begun: it goes on
        // unless the peer resets the stream.
        interrupt_when_cancelled(stream);
    };
}

} // namespace

boost::asio::awaitable<bool>
server_stream::run_until_cancelled(boost::asio::awaitable<void> work)
{
    if (cancelled())
    {
        co_return false;
    }
    interrupt_when_cancelled(stream_);
    const auto stream = stream_;
    const bool finished = co_await stream->work.run(std::move(work));
    stream->on_cancelled = nullptr;
    co_return finished;
}

std::size_t server_stream::buffered_bytes() const
{
    return stream_->inbound.size();
}

} // namespace nutmegusher::wire
