// Tests with connections that go silent while new ones work.
#include "nutmegusher/wire/wire_test_relay.hpp"

namespace nutmegusher::wire
{
namespace
{

session_options quick_options()
{
    session_options options;
    options.ping_interval = std::chrono::milliseconds(20);
    options.idle_ping_interval = std::chrono::milliseconds(100);
    options.silence_timeout = std::chrono::milliseconds(100);
    options.give_up_timeout = std::chrono::milliseconds(100);
    return options;
}

// Waits for cancellation without ever answering.
asio::awaitable<void> wait_for_cancel(std::shared_ptr<server_stream> stream)
{
    const auto cancelled = [stream]
    {
        return stream->cancelled();
    };
    co_await poll_until(cancelled);
}

asio::awaitable<void> request_on_silent_connection(asio::io_context& context)
{
    const auto server =
        listen_or_fail(context, wait_for_cancel, quick_options());
    tcp_relay relay(context, server->local_endpoint());
    // The session is suspect long before it is closed.
    auto options = quick_options();
    options.give_up_timeout = std::chrono::seconds(1);
    session_pool pool(context, options);
    const auto first = co_await pool.get(relay.endpoint());
    EXPECT_TRUE(first);
    const auto stream = (*first)->open(get("/wait"), true);
    EXPECT_TRUE(stream);
    const auto one_open = [&server]
    {
        return server->open_streams() == 1;
    };
    co_await poll_until(one_open);

    relay.silence();
    const auto suspect = [&first]
    {
        return !(*first)->usable();
    };
    co_await poll_until(suspect);
    EXPECT_EQ((*first)->open_streams(), 1U);
    const auto second = co_await pool.get(relay.endpoint());
    EXPECT_TRUE(second);
    EXPECT_NE(second->get(), first->get());
    EXPECT_TRUE((*second)->usable());

    const auto head = co_await (*stream)->read_head();
    EXPECT_FALSE(head);
    EXPECT_EQ(head.error(), stream_failure::silent);
    // The server detects the silence too, and cancels its handler.
    const auto none_open = [&server]
    {
        return server->open_streams() == 0;
    };
    co_await poll_until(none_open);
}

TEST(silence, a_silent_connection_is_replaced_and_its_streams_fail)
{
    asio::io_context context(1);
    run(context, request_on_silent_connection(context));
}

asio::awaitable<void> idle_silent_connection(asio::io_context& context)
{
    const auto server = listen_or_fail(context, echo, quick_options());
    tcp_relay relay(context, server->local_endpoint());
    session_pool pool(context, quick_options());
    const auto first = co_await pool.get(relay.endpoint());
    EXPECT_TRUE(first);
    relay.silence();
    const auto suspect = [&first]
    {
        return !(*first)->usable();
    };
    co_await poll_until(suspect);
    const auto answer =
        co_await call(pool, relay.endpoint(), "/echo", "again", test_timeout);
    EXPECT_TRUE(answer);
    EXPECT_EQ(answer.value(), "again");
}

TEST(silence, an_idle_connection_that_went_silent_is_found)
{
    asio::io_context context(1);
    run(context, idle_silent_connection(context));
}

asio::awaitable<void> accepting_only(asio::io_context& context)
{
    // The kernel accepts connections for a process that doesn't run.
    tcp::acceptor acceptor(context, any_port());
    auto options = quick_options();
    options.connect_timeout = std::chrono::milliseconds(200);
    session_pool pool(context, options);
    const auto session = co_await pool.get(acceptor.local_endpoint());
    EXPECT_FALSE(session);
    EXPECT_EQ(session.error(), stream_failure::timed_out);
}

TEST(silence, a_process_that_only_accepts_is_not_connected_to)
{
    asio::io_context context(1);
    run(context, accepting_only(context));
}

// A quiet but live peer: the handler takes long, and PINGs are answered.
asio::awaitable<void> slow_handler(asio::io_context& context)
{
    const auto work =
        [](std::shared_ptr<server_stream> stream) -> asio::awaitable<void>
    {
        co_await sleep_for(std::chrono::seconds(1));
        response_head head;
        static_cast<void>(co_await stream->write_head(head, true));
    };
    const auto server = listen_or_fail(context, work, quick_options());
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), quick_options());
    EXPECT_TRUE(session);
    const auto stream = (*session)->open(get("/long"), true);
    EXPECT_TRUE(stream);
    const auto head = co_await (*stream)->read_head();
    EXPECT_TRUE(head);
}

TEST(silence, a_slow_handler_is_not_taken_for_silence)
{
    asio::io_context context(1);
    run(context, slow_handler(context));
}

// Two calls on a session that goes silent: the retryable one fails once the
// session is suspect, the other one only when the session is closed.
asio::awaitable<void> retryable_and_not(asio::io_context& context)
{
    const auto server =
        listen_or_fail(context, wait_for_cancel, quick_options());
    tcp_relay relay(context, server->local_endpoint());
    auto options = quick_options();
    options.give_up_timeout = std::chrono::seconds(60);
    const auto session =
        co_await client_session::connect(context, relay.endpoint(), options);
    EXPECT_TRUE(session);
    const auto retryable = (*session)->open(get("/wait"), true);
    const auto non_retryable = (*session)->open(get("/wait"), true);
    EXPECT_TRUE(retryable && non_retryable);
    (*retryable)->expect_answer_soon(true);
    (*non_retryable)->expect_answer_soon(false);
    const auto both_open = [&server]
    {
        return server->open_streams() == 2;
    };
    co_await poll_until(both_open);
    relay.silence();
    const auto head = co_await (*retryable)->read_head();
    EXPECT_FALSE(head);
    EXPECT_EQ(head.error(), stream_failure::silent);
    EXPECT_FALSE((*session)->usable()) << "the session isn't suspect";
    EXPECT_EQ(server->open_streams(), 2U) << "the session was closed";
}

TEST(silence, retryable_streams_fail_when_the_session_is_suspect)
{
    asio::io_context context(1);
    run(context, retryable_and_not(context));
}

// After a call has ended the session falls silent while idle. The next call
// must detect it within the limits of an open call, not of an idle session.
asio::awaitable<void> silent_between_calls(asio::io_context& context)
{
    const auto server = listen_or_fail(context, echo, quick_options());
    tcp_relay relay(context, server->local_endpoint());
    auto options = quick_options();
    options.idle_ping_interval = std::chrono::hours(1);
    session_pool pool(context, options);
    const auto answer =
        co_await call(pool, relay.endpoint(), "/echo", "first", test_timeout);
    EXPECT_TRUE(answer);
    relay.silence();
    const auto session = co_await pool.get(relay.endpoint());
    EXPECT_TRUE(session);
    const auto stream = (*session)->open(get("/echo"), true);
    EXPECT_TRUE(stream);
    const auto head = co_await (*stream)->read_head();
    EXPECT_FALSE(head);
    EXPECT_EQ(head.error(), stream_failure::silent);
}

TEST(silence, a_session_that_falls_silent_between_two_calls_is_found)
{
    asio::io_context context(1);
    run(context, silent_between_calls(context));
}

// A used session idles; the peer is confirmed before the next request.
asio::awaitable<void> confirm_live_and_silent(asio::io_context& context)
{
    const auto server = listen_or_fail(context, echo, quick_options());
    tcp_relay relay(context, server->local_endpoint());
    auto options = quick_options();
    options.idle_ping_interval = std::chrono::hours(1);
    options.confirm_timeout = std::chrono::milliseconds(200);
    options.give_up_timeout = std::chrono::seconds(60);
    session_pool pool(context, options);
    const auto answer =
        co_await call(pool, relay.endpoint(), "/echo", "first", test_timeout);
    EXPECT_TRUE(answer);
    const auto session = co_await pool.get(relay.endpoint());
    EXPECT_TRUE(session);
    co_await sleep_for(2 * options.recent_receive_window);
    const auto live_result = co_await (*session)->confirm();
    EXPECT_TRUE(live_result);

    relay.silence();
    co_await sleep_for(2 * options.recent_receive_window);
    const auto silent_result = co_await (*session)->confirm();
    EXPECT_FALSE(silent_result);
    EXPECT_EQ(silent_result.error(), stream_failure::silent);
    EXPECT_FALSE((*session)->usable());
    const auto again =
        co_await call(pool, relay.endpoint(), "/echo", "again", test_timeout);
    EXPECT_TRUE(again);
}

TEST(silence, confirm_detects_a_silent_peer_before_a_request_is_sent)
{
    asio::io_context context(1);
    run(context, confirm_live_and_silent(context));
}

asio::awaitable<void> closed_during_confirm(asio::io_context& context)
{
    const auto server = listen_or_fail(context, echo, quick_options());
    tcp_relay relay(context, server->local_endpoint());
    auto options = quick_options();
    options.confirm_timeout = std::chrono::seconds(30);
    options.silence_timeout = std::chrono::seconds(30);
    const auto session =
        co_await client_session::connect(context, relay.endpoint(), options);
    EXPECT_TRUE(session);
    relay.silence();
    co_await sleep_for(2 * options.recent_receive_window);
    const auto close = [&session]() -> asio::awaitable<void>
    {
        co_await sleep_for(std::chrono::milliseconds(20));
        (*session)->close();
    };
    asio::co_spawn(context, close(), asio::detached);
    const auto silent_result = co_await (*session)->confirm();
    EXPECT_FALSE(silent_result);
    EXPECT_EQ(silent_result.error(), stream_failure::cancelled);
}

TEST(silence, confirm_fails_when_the_session_closes_meanwhile)
{
    asio::io_context context(1);
    run(context, closed_during_confirm(context));
}

} // namespace
} // namespace nutmegusher::wire
