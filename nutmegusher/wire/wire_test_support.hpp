// Shared test support: running coroutines on an io_context, and simple
// handlers.
#ifndef NUTMEGUSHER_WIRE_WIRE_TEST_SUPPORT_HPP
#define NUTMEGUSHER_WIRE_WIRE_TEST_SUPPORT_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace nutmegusher::wire
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Far longer than any step takes; a test that reaches it has failed.
inline constexpr std::chrono::seconds test_timeout{60};

inline tcp::endpoint any_port()
{
    return {asio::ip::make_address("127.0.0.1"), 0};
}

// Runs the event loop until the coroutine has ended.
inline void run(asio::io_context& context, asio::awaitable<void> test)
{
    bool done = false;
    const auto finished = [&done, &context](const std::exception_ptr& failure)
    {
        done = true;
        context.stop();
        EXPECT_FALSE(failure) << "the test coroutine threw an exception";
    };
    asio::co_spawn(context, std::move(test), finished);
    context.restart();
    context.run_for(test_timeout);
    EXPECT_TRUE(done);
}

inline asio::awaitable<void> sleep_for(duration span)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, span);
    co_await timer.async_wait(asio::use_awaitable);
}

// Runs the event loop until `condition` holds; checks it every millisecond.
template <class Condition>
asio::awaitable<void> poll_until(Condition condition)
{
    const auto limit = std::chrono::steady_clock::now() + test_timeout;
    while (!condition() && std::chrono::steady_clock::now() < limit)
    {
        co_await sleep_for(std::chrono::milliseconds(1));
    }
    EXPECT_TRUE(condition());
}

inline std::unique_ptr<server> listen_or_fail(
    asio::io_context& context,
    stream_handler handler,
    session_options options = {})
{
    auto result =
        server::listen(context, any_port(), std::move(handler), options, false);
    EXPECT_TRUE(result);
    return std::move(*result);
}

inline request_head get(std::string path)
{
    request_head head;
    head.method = "GET";
    head.path = std::move(path);
    return head;
}

inline request_head post(std::string path)
{
    auto head = get(std::move(path));
    head.method = "POST";
    return head;
}

// The first bytes of a client: the preface and empty SETTINGS.
inline std::string client_preface()
{
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const std::string settings("\0\0\0\4\0\0\0\0\0", 9);
    return preface + settings;
}

// Pseudo-random bytes, determined by the seed and different for each seed.
inline std::string make_body(std::uint64_t seed, std::size_t size)
{
    random_engine engine(seed);
    std::string body(size, '\0');
    for (auto& each_byte : body)
    {
        each_byte = static_cast<char>(engine());
    }
    return body;
}

// Reads the whole body, or returns the failure. `Stream` is a client or server
// stream.
template <class Stream>
asio::awaitable<outcome<std::string, stream_failure>> read_all(Stream& stream)
{
    std::string body;
    std::array<std::byte, 4096> part;
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
        body.append(reinterpret_cast<const char*>(part.data()), *count);
    }
}

// Answers with the body of the request.
inline asio::awaitable<void> echo(std::shared_ptr<server_stream> stream)
{
    const auto body = co_await read_all(*stream);
    if (!body)
    {
        co_return;
    }
    response_head head;
    static_cast<void>(co_await stream->write_head(head, body->empty()));
    if (!body->empty())
    {
        const auto bytes = std::as_bytes(std::span(*body));
        static_cast<void>(co_await stream->write(bytes, true));
    }
}

// Holds back answers until `open` is set, and counts handler starts and
// cancellations.
struct gate
{
    bool open = false;
    int entered = 0;
    int cancelled = 0;
};

inline stream_handler gated_echo(gate& handler_gate)
{
    return [&handler_gate](
               std::shared_ptr<server_stream> stream) -> asio::awaitable<void>
    {
        ++handler_gate.entered;
        stream->on_cancelled(
            [&handler_gate]
            {
                ++handler_gate.cancelled;
            });
        const auto may_answer = [&handler_gate, stream]
        {
            return handler_gate.open || stream->cancelled();
        };
        co_await poll_until(may_answer);
        if (!stream->cancelled())
        {
            co_await echo(stream);
        }
    };
}

// Reads the head and whole body of the response, or returns the failure.
inline asio::awaitable<outcome<std::string, stream_failure>>
read_response(client_stream& stream)
{
    const auto head = co_await stream.read_head();
    if (!head)
    {
        co_return head.error();
    }
    co_return co_await read_all(stream);
}

} // namespace nutmegusher::wire

#endif
