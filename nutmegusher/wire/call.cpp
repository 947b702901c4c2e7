#include "nutmegusher/wire/call.hpp"

#include <array>

namespace nutmegusher::wire
{
namespace
{

constexpr unsigned status_ok = 200;
constexpr std::size_t read_chunk_bytes = 16 * 1024;

// Reads the response's body in chunks; most bodies fit into the first one.
boost::asio::awaitable<outcome<std::string, stream_failure>>
read_body(client_stream& stream)
{
    std::string body;
    std::array<std::byte, read_chunk_bytes> part;
    for (;;)
    {
        const auto count = co_await stream.read_some(part);
        if (!count)
        {
            co_return count.error();
        }
        if (*count == 0)
        {
            co_return body;
        }
        if (body.size() + *count > max_call_answer_bytes)
        {
            co_return stream_failure::too_large;
        }
        body.append(reinterpret_cast<const char*>(part.data()), *count);
    }
}

} // namespace

boost::asio::awaitable<outcome<std::string, stream_failure>> call(
    session_pool& pool,
    boost::asio::ip::tcp::endpoint peer,
    std::string_view path,
    std::string_view body,
    duration timeout)
{
    const time_point deadline = host_clock().now() + timeout;
    auto session = pool.find(peer);
    if (!session)
    {
        auto connected =
            co_await pool.get(peer, traffic::short_calls, deadline);
        if (!connected)
        {
            co_return connected.error();
        }
        session = *connected;
    }
    request_head head;
    head.method = "POST";
    head.path = path;
    const auto opened = session->open(head, body.empty());
    if (!opened)
    {
        co_return opened.error();
    }
    client_stream& stream = **opened;
    stream.expire_after(deadline - host_clock().now());
    if (!body.empty())
    {
        const auto bytes = std::as_bytes(std::span(body));
        const auto written = co_await stream.write(bytes, true);
        if (!written)
        {
            co_return written.error();
        }
    }
    const auto answer = co_await stream.read_head();
    if (!answer)
    {
        co_return answer.error();
    }
    if (answer->status != status_ok)
    {
        co_return stream_failure::bad_status;
    }
    co_return co_await read_body(stream);
}

} // namespace nutmegusher::wire
