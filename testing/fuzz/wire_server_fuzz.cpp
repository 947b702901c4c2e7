// For arbitrary bytes from a peer, the HTTP/2 server must neither crash nor
// keep the connection after the peer has closed it.
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstdint>

namespace
{

using namespace nutmegusher;
using namespace nutmegusher::wire;
namespace asio = boost::asio;
using asio::ip::tcp;

// Fits into the socket's buffers, so that the write doesn't block.
constexpr std::size_t max_input = 32 * 1024;

constexpr std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
constexpr std::string_view settings("\0\0\0\4\0\0\0\0\0", 9);

asio::awaitable<void> echo(std::shared_ptr<server_stream> stream)
{
    static_cast<void>(co_await stream->write_head(response_head{}, false));
    std::array<std::byte, 1024> part;
    for (;;)
    {
        const auto count = co_await stream->read_some(part);
        if (!count)
        {
            co_return;
        }
        const auto bytes = std::span(part).first(*count);
        const bool end = bytes.empty();
        const auto written = co_await stream->write(bytes, end);
        if (!written || end)
        {
            co_return;
        }
    }
}

} // namespace

// The first byte decides whether the client's preface and settings precede the
// rest. libFuzzer prescribes the function's name.
// NOLINTBEGIN(readability-identifier-naming)
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
// NOLINTEND(readability-identifier-naming)
{
    if (size == 0 || size > max_input)
    {
        return 0;
    }
    asio::io_context context(1);
    const tcp::endpoint any_port(asio::ip::make_address("127.0.0.1"), 0);
    auto listening =
        server::listen(context, any_port, echo, session_options{}, false);
    if (!listening)
    {
        return 0;
    }
    auto& running = **listening;
    tcp::socket peer(context);
    boost::system::error_code error;
    peer.connect(running.local_endpoint(), error);
    const bool greets = data[0] % 2 == 0;
    if (greets)
    {
        asio::write(peer, asio::buffer(preface), error);
        asio::write(peer, asio::buffer(settings), error);
    }
    asio::write(peer, asio::buffer(data + 1, size - 1), error);
    peer.shutdown(tcp::socket::shutdown_send, error);
    bool accepted = false;
    while (!accepted || running.connections() > 0 || running.open_streams() > 0)
    {
        context.run_one();
        accepted = accepted || running.connections() > 0;
    }
    return 0;
}
