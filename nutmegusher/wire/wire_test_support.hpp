// What the tests of this package share: a loop to run coroutines on, and
// handlers that answer.
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

// Far above what any step takes; a test that reaches it has failed.
inline constexpr std::chrono::seconds test_timeout{60};

inline tcp::endpoint any_port()
{
    return {asio::ip::make_address("127.0.0.1"), 0};
}

// Runs the loop until the coroutine has ended.
inline void run(asio::io_context& context, asio::awaitable<void> test)
{
    bool done = false;
    const auto finished = [&done, &context](const std::exception_ptr& failure)
    {
        done = true;
        context.stop();
        EXPECT_FALSE(failure) << "the test's coroutine has thrown";
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

// Lets the loop run until `condition` holds.
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

// What a client says first: the preface and empty SETTINGS.
inline std::string client_preface()
{
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const std::string settings("\0\0\0\4\0\0\0\0\0", 9);
    return preface + settings;
}

// The same bytes for the same seed, none of them like another seed's.
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

// The whole body, or why there is none. `Stream` is either end.
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

// Answers with the request's body.
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

// Answers when the test says so.
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

// The whole answer, or why there is none.
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
