#include "nutmegusher/node/peer_message.hpp"

#include <array>
#include <span>
#include <utility>

namespace nutmegusher::node
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t chunk_bytes = 16384;

} // namespace

asio::awaitable<std::optional<std::string>>
read_message(wire::server_stream& stream, std::size_t max_bytes)
{
    std::string text;
    std::array<std::byte, chunk_bytes> chunk;
    while (text.size() <= max_bytes)
    {
        const auto read_size = co_await stream.read_some(chunk);
        if (!read_size)
        {
            co_return std::nullopt;
        }
        if (*read_size == 0)
        {
            co_return text;
        }
        text.append(reinterpret_cast<const char*>(chunk.data()), *read_size);
    }
    co_return std::nullopt;
}

asio::awaitable<void>
write_message(wire::server_stream& stream, const std::string& body)
{
    wire::response_head head{200, {}};
    const auto head_written =
        co_await stream.write_head(std::move(head), body.empty());
    if (head_written && !body.empty())
    {
        co_await stream.write(std::as_bytes(std::span(body)), true);
    }
}

asio::awaitable<void> send_bad_request(wire::server_stream& stream)
{
    wire::response_head head{400, {}};
    co_await stream.write_head(std::move(head), true);
}

} // namespace nutmegusher::node
