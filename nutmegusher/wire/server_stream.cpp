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

std::size_t server_stream::buffered_bytes() const
{
    return stream_->inbound.size();
}

} // namespace nutmegusher::wire
