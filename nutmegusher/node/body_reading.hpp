// Reads HTTP/1.1 heads and bodies, for servers and clients.
#ifndef NUTMEGUSHER_NODE_BODY_READING_HPP
#define NUTMEGUSHER_NODE_BODY_READING_HPP

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <string_view>

namespace nutmegusher::node::internal
{

namespace asio = boost::asio;
namespace beast = boost::beast;

// Whether `buffered` may be the end of a chunked body with its last bytes
// missing. Beast's parser takes such bytes once and aborts the process if it is
// given them again, with less than the whole end.
[[nodiscard]] inline bool is_partial_last_chunk(std::string_view buffered)
{
    return buffered == "0\r\n" || buffered == "0\r\n\r" || buffered == "00\r\n";
}

// Parses what is buffered, reading more if that isn't enough, until the parser
// has consumed something or the message has ended. Adds the number of consumed
// bytes to `parsed`. Use it in place of `http::async_read_some` for a message
// whose head has been read; see `is_partial_last_chunk`.
//
// Calls `on_wait` before each wait for the stream.
//
// Errors: those of the stream and of the parser; `http::error::need_buffer` is
// none. `http::error::buffer_overflow` if what the parser needs at once exceeds
// the buffer's maximum.
template <class Parser, class OnWait>
asio::awaitable<boost::system::error_code> read_body_some(
    beast::tcp_stream& stream,
    beast::flat_buffer& buffer,
    Parser& parser,
    std::size_t& parsed,
    const OnWait& on_wait)
{
    constexpr std::size_t max_read_bytes = 65536;
    constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);
    while (true)
    {
        const auto bytes = buffer.data();
        const std::string_view buffered(
            static_cast<const char*>(bytes.data()), bytes.size());
        const bool must_wait =
            parser.chunked() && is_partial_last_chunk(buffered);
        if (!buffered.empty() && !must_wait)
        {
            boost::system::error_code failed;
            const auto used = parser.put(bytes, failed);
            buffer.consume(used);
            parsed += used;
            if (failed == beast::http::error::need_buffer ||
                (failed == beast::http::error::need_more && used > 0))
            {
                co_return boost::system::error_code();
            }
            if (failed != beast::http::error::need_more)
            {
                co_return failed;
            }
        }
        const auto wanted = beast::read_size(buffer, max_read_bytes);
        if (wanted == 0)
        {
            co_return beast::http::error::buffer_overflow;
        }
        const auto room = buffer.prepare(wanted);
        on_wait();
        const auto [failed, size] =
            co_await stream.async_read_some(room, as_tuple_awaitable);
        buffer.commit(size);
        if (failed == asio::error::eof)
        {
            boost::system::error_code incomplete;
            parser.put_eof(incomplete);
            co_return incomplete;
        }
        if (failed)
        {
            co_return failed;
        }
    }
}

template <class Parser>
asio::awaitable<boost::system::error_code> read_body_some(
    beast::tcp_stream& stream,
    beast::flat_buffer& buffer,
    Parser& parser,
    std::size_t& parsed)
{
    return read_body_some(stream, buffer, parser, parsed, [] {});
}

// Reads up to the end of a message's head. Adds the number of consumed bytes to
// `parsed`. Like `http::async_read_header`, without a composed operation around
// each read.
//
// Errors: those of the stream and of the parser; `http::error::end_of_stream`
// if the connection was closed before the first byte; `buffer_overflow` as
// above.
template <class Parser>
asio::awaitable<boost::system::error_code> read_head(
    beast::tcp_stream& stream,
    beast::flat_buffer& buffer,
    Parser& parser,
    std::size_t& parsed)
{
    constexpr std::size_t max_read_bytes = 65536;
    constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);
    while (true)
    {
        if (buffer.size() > 0)
        {
            boost::system::error_code failed;
            const auto used = parser.put(buffer.data(), failed);
            buffer.consume(used);
            parsed += used;
            if (failed && failed != beast::http::error::need_more)
            {
                co_return failed;
            }
        }
        if (parser.is_header_done())
        {
            co_return boost::system::error_code();
        }
        const auto wanted = beast::read_size(buffer, max_read_bytes);
        if (wanted == 0)
        {
            co_return beast::http::error::buffer_overflow;
        }
        const auto [failed, size] = co_await stream.async_read_some(
            buffer.prepare(wanted), as_tuple_awaitable);
        buffer.commit(size);
        if (failed == asio::error::eof)
        {
            boost::system::error_code incomplete =
                beast::http::error::end_of_stream;
            if (parser.got_some())
            {
                incomplete.clear();
                parser.put_eof(incomplete);
            }
            co_return incomplete;
        }
        if (failed)
        {
            co_return failed;
        }
    }
}

} // namespace nutmegusher::node::internal

#endif
