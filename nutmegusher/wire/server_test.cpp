#include "nutmegusher/wire/wire_test_relay.hpp"

namespace nutmegusher::wire
{
namespace
{

asio::awaitable<void> cancel_reaches_handler(asio::io_context& context)
{
    gate handler_gate;
    const auto server = listen_or_fail(context, gated_echo(handler_gate));
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    {
        const auto dropped = (*session)->open(get("/"), true);
        EXPECT_TRUE(dropped);
        const auto entered = [&handler_gate]
        {
            return handler_gate.entered == 1;
        };
        co_await poll_until(entered);
    }
    const auto cancelled_once = [&handler_gate]
    {
        return handler_gate.cancelled == 1;
    };
    co_await poll_until(cancelled_once);
    const auto lost = (*session)->open(get("/"), true);
    EXPECT_TRUE(lost);
    const auto entered_again = [&handler_gate]
    {
        return handler_gate.entered == 2;
    };
    co_await poll_until(entered_again);
    (*session)->close();
    const auto cancelled_twice = [&handler_gate]
    {
        return handler_gate.cancelled == 2;
    };
    co_await poll_until(cancelled_twice);
    const auto none_open = [&server]
    {
        return server->open_streams() == 0;
    };
    co_await poll_until(none_open);
}

TEST(server, a_dropped_stream_and_a_lost_connection_cancel_the_handler)
{
    asio::io_context context(1);
    run(context, cancel_reaches_handler(context));
}

asio::awaitable<void> no_answer(asio::io_context& context)
{
    const auto serve =
        [](std::shared_ptr<server_stream> stream) -> asio::awaitable<void>
    {
        if (stream->head().path == "/throw")
        {
            throw std::runtime_error("handler failed");
        }
        static_cast<void>(co_await stream->write_head(response_head{}, false));
    };
    const auto server = listen_or_fail(context, serve);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    for (const std::string path : {"/throw", "/half"})
    {
        const auto stream = (*session)->open(get(path), true);
        EXPECT_TRUE(stream);
        const auto answer = co_await read_response(**stream);
        EXPECT_FALSE(answer);
        EXPECT_EQ(answer.error(), stream_failure::reset);
    }
}

TEST(server, a_handler_without_a_whole_answer_resets_the_stream)
{
    asio::io_context context(1);
    run(context, no_answer(context));
}

asio::awaitable<void> stream_limit(asio::io_context& context)
{
    gate handler_gate;
    session_options low_limits;
    low_limits.max_concurrent_streams = 3;
    const auto server =
        listen_or_fail(context, gated_echo(handler_gate), low_limits);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    std::vector<std::unique_ptr<client_stream>> held;
    for (int i = 0; i < 3; ++i)
    {
        auto stream = (*session)->open(get("/"), true);
        EXPECT_TRUE(stream);
        held.push_back(std::move(*stream));
    }
    const auto more = (*session)->open(get("/"), true);
    EXPECT_FALSE(more);
    EXPECT_EQ(more.error(), stream_failure::refused);
    handler_gate.open = true;
}

TEST(server, more_streams_than_the_limit_are_refused)
{
    asio::io_context context(1);
    run(context, stream_limit(context));
}

// A client opens and resets streams as fast as it can, while the handlers
// ignore the cancellation.
asio::awaitable<void> rapid_reset(asio::io_context& context)
{
    std::size_t running = 0;
    std::size_t max_running = 0;
    bool finish_all = false;
    const auto serve =
        [&](std::shared_ptr<server_stream>) -> asio::awaitable<void>
    {
        ++running;
        max_running = std::max(max_running, running);
        const auto allowed = [&finish_all]
        {
            return finish_all;
        };
        co_await poll_until(allowed);
        --running;
    };
    session_options low_limits;
    low_limits.max_concurrent_streams = 10;
    const auto server = listen_or_fail(context, serve, low_limits);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    for (int i = 0; i < 200; ++i)
    {
        {
            const auto dropped = (*session)->open(get("/"), true);
            EXPECT_TRUE(dropped);
            co_await sleep_for(std::chrono::microseconds(200));
        }
        const auto client_has_none = [&session]
        {
            return (*session)->open_streams() == 0;
        };
        co_await poll_until(client_has_none);
    }
    EXPECT_LE(max_running, 20U);
    EXPECT_GE(max_running, 10U);
    finish_all = true;
    const auto none_running = [&running]
    {
        return running == 0;
    };
    co_await poll_until(none_running);
}

TEST(server, streams_reset_at_once_start_a_bounded_number_of_handlers)
{
    asio::io_context context(1);
    run(context, rapid_reset(context));
}

// Sends the client preface with empty SETTINGS, then the same frame 100 times.
asio::awaitable<void> flood(asio::io_context& context, std::string frame)
{
    session_options low_rate_limit;
    low_rate_limit.max_control_frames_per_second = 50;
    const auto server = listen_or_fail(context, echo, low_rate_limit);
    tcp::socket socket(context);
    co_await socket.async_connect(
        server->local_endpoint(), asio::use_awaitable);
    auto bytes = client_preface();
    for (int i = 0; i < 100; ++i)
    {
        bytes += frame;
    }
    co_await asio::async_write(
        socket, asio::buffer(bytes), asio::use_awaitable);
    const auto closed = [&server]
    {
        return server->connections() == 0;
    };
    co_await poll_until(closed);
}

TEST(server, a_flood_of_pings_closes_the_connection)
{
    asio::io_context context(1);
    const std::string ping("\0\0\10\6\0\0\0\0\0abcdefgh", 17);
    run(context, flood(context, ping));
}

TEST(server, a_flood_of_priorities_closes_the_connection)
{
    asio::io_context context(1);
    const std::string priority("\0\0\5\2\0\0\0\0\1\0\0\0\0\1", 14);
    run(context, flood(context, priority));
}

asio::awaitable<void> no_handshake(asio::io_context& context)
{
    session_options short_timeouts;
    short_timeouts.connect_timeout = std::chrono::milliseconds(50);
    short_timeouts.max_connections = 2;
    const auto server = listen_or_fail(context, echo, short_timeouts);
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < 5; ++i)
    {
        sockets.emplace_back(context);
        co_await sockets.back().async_connect(
            server->local_endpoint(), asio::use_awaitable);
    }
    const auto some_connected = [&server]
    {
        return server->connections() > 0;
    };
    co_await poll_until(some_connected);
    EXPECT_LE(server->connections(), 2U);
    const auto none_connected = [&server]
    {
        return server->connections() == 0;
    };
    co_await poll_until(none_connected);
}

TEST(server, connections_are_limited_and_need_a_timely_handshake)
{
    asio::io_context context(1);
    run(context, no_handshake(context));
}

TEST(server, an_address_in_use_is_a_typed_failure)
{
    asio::io_context context(1);
    const auto first = listen_or_fail(context, echo);
    const auto taken = first->local_endpoint();
    bool typed = false;
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_CHECK(
                server::listen(context, taken, echo, session_options{}, false));
            return {};
        },
        [&](const listen_failure& failure)
        {
            typed = failure.address == taken && failure.cause.failed();
        },
        [] {});
    EXPECT_TRUE(typed);
}

TEST(server, two_servers_share_an_address_where_asked)
{
    asio::io_context context(1);
    auto first =
        server::listen(context, any_port(), echo, session_options{}, true);
    ASSERT_TRUE(first);
    const auto shared = (*first)->local_endpoint();
    auto second =
        server::listen(context, shared, echo, session_options{}, true);
    EXPECT_TRUE(second);
}

} // namespace
} // namespace nutmegusher::wire
