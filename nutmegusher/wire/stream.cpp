#include "nutmegusher/wire/stream.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace nutmegusher::wire::internal
{

void stream::fail(stream_failure why)
{
    if (!failure)
    {
        failure = why;
    }
    readable.notify();
    writable.notify();
}

void stream::post_cancelled(asio::io_context& context)
{
    auto cancelled = std::exchange(on_cancelled, nullptr);
    if (cancelled)
    {
        asio::post(context, std::move(cancelled));
    }
}

} // namespace nutmegusher::wire::internal
