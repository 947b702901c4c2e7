#include "nutmegusher/wire/wire_test_support.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace nutmegusher::wire
{
namespace
{

asio::awaitable<void> stop(server& stopped, duration limit, bool& done)
{
    co_await stopped.stop_gracefully(limit);
    done = true;
}

asio::awaitable<void> graceful_stop(asio::io_context& context)
{
    gate handler_gate;
    const auto server = listen_or_fail(context, gated_echo(handler_gate));
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    const auto body = make_body(3, 200000);
    const auto stream = (*session)->open(post("/echo"), false);
    EXPECT_TRUE(stream);
    const auto bytes = std::as_bytes(std::span(body));
    const auto entered = [&handler_gate]
    {
        return handler_gate.entered == 1;
    };
    co_await poll_until(entered);

    bool stopped = false;
    asio::co_spawn(
        context, stop(*server, test_timeout, stopped), asio::detached);
    const auto going_away = [&session]
    {
        return !(*session)->usable();
    };
    co_await poll_until(going_away);
    const auto late = (*session)->open(get("/late"), true);
    EXPECT_FALSE(late);
    EXPECT_EQ(late.error(), stream_failure::not_connected);
    EXPECT_FALSE(stopped);

    handler_gate.open = true;
    const auto written = co_await (*stream)->write(bytes, true);
    EXPECT_TRUE(written);
    const auto answer = co_await read_response(**stream);
    EXPECT_TRUE(answer);
    EXPECT_TRUE(answer == body);
    const auto has_stopped = [&stopped]
    {
        return stopped;
    };
    co_await poll_until(has_stopped);
    EXPECT_EQ(server->connections(), 0U);
    EXPECT_EQ(handler_gate.cancelled, 0);
}

TEST(server, a_graceful_stop_cuts_nothing_in_flight)
{
    asio::io_context context(1);
    run(context, graceful_stop(context));
}

struct request_counts
{
    int complete = 0;
    int not_processed = 0;
    int other = 0;
    int running = 0;
};

// Sends requests until the session takes no more.
asio::awaitable<void>
send_until_stopped(client_session& session, request_counts& counts)
{
    ++counts.running;
    for (;;)
    {
        const auto stream = session.open(get("/"), true);
        if (!stream)
        {
            break;
        }
        const auto answer = co_await read_response(**stream);
        if (answer)
        {
            ++counts.complete;
            continue;
        }
        const bool unprocessed = certainly_not_processed(answer.error());
        ++(unprocessed ? counts.not_processed : counts.other);
    }
    --counts.running;
}

asio::awaitable<void> stop_under_load(asio::io_context& context)
{
    int handled = 0;
    const auto serve = [&handled](std::shared_ptr<server_stream> stream)
        -> asio::awaitable<void>
    {
        ++handled;
        co_await echo(stream);
    };
    const auto server = listen_or_fail(context, serve);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    request_counts counts;
    for (int i = 0; i < 50; ++i)
    {
        asio::co_spawn(
            context, send_until_stopped(**session, counts), asio::detached);
    }
    const auto under_load = [&counts]
    {
        return counts.complete > 1000;
    };
    co_await poll_until(under_load);
    co_await server->stop_gracefully(test_timeout);
    const auto all_ended = [&counts]
    {
        return counts.running == 0;
    };
    co_await poll_until(all_ended);
    EXPECT_EQ(counts.other, 0);
    // Requests reported as not processed didn't reach the handler.
    EXPECT_EQ(handled, counts.complete);
}

TEST(server, a_stop_under_load_answers_or_refuses_each_request)
{
    asio::io_context context(1);
    run(context, stop_under_load(context));
}

asio::awaitable<void> stop_limit(asio::io_context& context)
{
    gate handler_gate;
    const auto server = listen_or_fail(context, gated_echo(handler_gate));
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    const auto stream = (*session)->open(get("/"), true);
    EXPECT_TRUE(stream);
    const auto entered = [&handler_gate]
    {
        return handler_gate.entered == 1;
    };
    co_await poll_until(entered);
    co_await server->stop_gracefully(std::chrono::milliseconds(50));
    EXPECT_EQ(server->connections(), 0U);
    const auto answer = co_await read_response(**stream);
    EXPECT_FALSE(answer);
    EXPECT_EQ(answer.error(), stream_failure::cut);
    const auto observed = [&handler_gate]
    {
        return handler_gate.cancelled == 1;
    };
    co_await poll_until(observed);
}

TEST(server, a_stop_ends_at_its_limit)
{
    asio::io_context context(1);
    run(context, stop_limit(context));
}

constexpr unsigned char headers_frame = 1;
constexpr unsigned char ping_frame = 6;
constexpr unsigned char goaway_frame = 7;

struct raw_frame
{
    unsigned char type = 0;
    std::string payload;
};

// HEADERS of a complete GET / on stream 1.
std::string first_request()
{
    const std::string block("\x82\x86\x84\x41\4peer", 9);
    const std::string head("\0\0\x9\1\5\0\0\0\1", 9);
    return head + block;
}

std::string ping_answer(const raw_frame& ping)
{
    const std::string head("\0\0\x8\6\1\0\0\0\0", 9);
    return head + ping.payload;
}

asio::awaitable<raw_frame> next_frame(tcp::socket& socket)
{
    std::array<unsigned char, 9> head{};
    co_await asio::async_read(socket, asio::buffer(head), asio::use_awaitable);
    raw_frame frame;
    frame.type = head[3];
    frame.payload.resize(head[0] << 16U | head[1] << 8U | head[2]);
    co_await asio::async_read(
        socket, asio::buffer(frame.payload), asio::use_awaitable);
    co_return frame;
}

asio::awaitable<raw_frame>
next_frame_of(tcp::socket& socket, unsigned char type)
{
    auto frame = co_await next_frame(socket);
    while (frame.type != type)
    {
        frame = co_await next_frame(socket);
    }
    co_return frame;
}

// A PING sent before the stop is answered after the GOAWAY notice, together
// with a request. The server must not take this answer for the confirmation of
// the notice and refuse the request.
asio::awaitable<void> late_ping_answer(asio::io_context& context)
{
    int handled = 0;
    const auto serve = [&handled](std::shared_ptr<server_stream> stream)
        -> asio::awaitable<void>
    {
        ++handled;
        co_await echo(stream);
    };
    session_options short_timeouts;
    short_timeouts.idle_ping_interval = std::chrono::milliseconds(5);
    const auto server = listen_or_fail(context, serve, short_timeouts);
    tcp::socket socket(context);
    co_await socket.async_connect(
        server->local_endpoint(), asio::use_awaitable);
    const auto preface = client_preface();
    co_await asio::async_write(
        socket, asio::buffer(preface), asio::use_awaitable);
    const auto before = co_await next_frame_of(socket, ping_frame);

    bool stopped = false;
    asio::co_spawn(
        context, stop(*server, test_timeout, stopped), asio::detached);
    co_await next_frame_of(socket, goaway_frame);
    const auto crossing = ping_answer(before) + first_request();
    co_await asio::async_write(
        socket, asio::buffer(crossing), asio::use_awaitable);

    const auto asked = co_await next_frame_of(socket, ping_frame);
    auto observed = co_await next_frame(socket);
    while (observed.type != headers_frame && observed.type != goaway_frame)
    {
        observed = co_await next_frame(socket);
    }
    EXPECT_EQ(handled, 1);
    EXPECT_EQ(observed.type, headers_frame)
        << "refused streams after " << int{observed.payload.at(3)};

    const auto confirmed = ping_answer(asked);
    co_await asio::async_write(
        socket, asio::buffer(confirmed), asio::use_awaitable);
    const auto last = co_await next_frame_of(socket, goaway_frame);
    EXPECT_EQ(last.payload[3], 1);
    socket.close();
    const auto has_stopped = [&stopped]
    {
        return stopped;
    };
    co_await poll_until(has_stopped);
}

TEST(server, a_stop_serves_requests_sent_before_the_goaway_was_confirmed)
{
    asio::io_context context(1);
    run(context, late_ping_answer(context));
}

// A client on a separate io_context, which can be paused while the server's
// runs.
class paused_peer : public testing::Test
{
protected:
    void SetUp() override
    {
        listening = listen_or_fail(server_context, echo);
        const auto connected = spawn(
            client_context,
            client_session::connect(
                client_context,
                listening->local_endpoint(),
                session_options{}));
        ASSERT_TRUE(run_until(connected, client_context, server_context));
        session = *connected->value();
    }

    template <class T>
    using result = std::shared_ptr<std::optional<T>>;

    template <class T>
    static result<T> spawn(asio::io_context& on, asio::awaitable<T> action)
    {
        auto done = std::make_shared<std::optional<T>>();
        const auto note = [done](const std::exception_ptr& thrown, T value)
        {
            EXPECT_FALSE(thrown);
            done->emplace(std::move(value));
        };
        asio::co_spawn(on, std::move(action), note);
        return done;
    }

    template <class T, class... Loops>
    static bool run_until(const result<T>& done, Loops&... loops)
    {
        const auto limit = std::chrono::steady_clock::now() + test_timeout;
        while (!*done && std::chrono::steady_clock::now() < limit)
        {
            (run_for_one_ms(loops), ...);
        }
        return done->has_value();
    }

    static void run_for_one_ms(asio::io_context& loop)
    {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(1));
    }

    // Sends a request and returns its outcome.
    outcome<std::string, stream_failure> send_request()
    {
        const auto opened = session->open(get("/"), true);
        EXPECT_TRUE(opened);
        const auto answer = spawn(client_context, read_response(**opened));
        EXPECT_TRUE(run_until(answer, client_context));
        return answer->value();
    }

    static asio::awaitable<bool> stop_within(server& stopped, duration limit)
    {
        co_await stopped.stop_gracefully(limit);
        co_return true;
    }

    asio::io_context client_context{1};
    asio::io_context server_context{1};
    std::unique_ptr<server> listening;
    std::shared_ptr<client_session> session;
};

TEST_F(paused_peer, knows_that_a_request_after_the_stop_did_not_run)
{
    const auto stopped = spawn(
        server_context, stop_within(*listening, std::chrono::milliseconds(20)));
    ASSERT_TRUE(run_until(stopped, server_context));
    const auto answer = send_request();
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error(), stream_failure::refused);
}

TEST_F(paused_peer, knows_that_an_unread_request_did_not_run)
{
    const auto opened = session->open(get("/"), true);
    ASSERT_TRUE(opened);
    const auto answer = spawn(client_context, read_response(**opened));
    // The request is sent, but the server's loop doesn't run any more.
    run_for_one_ms(client_context);
    listening.reset();
    ASSERT_TRUE(run_until(answer, client_context));
    ASSERT_FALSE(answer->value());
    EXPECT_EQ(answer->value().error(), stream_failure::refused);
}

// The response isn't sent, so nobody knows how far the handler ran.
TEST_F(paused_peer, is_not_told_that_a_started_request_did_not_run)
{
    const auto opened = session->open(post("/"), false);
    ASSERT_TRUE(opened);
    const auto answer = spawn(client_context, read_response(**opened));
    const auto limit = std::chrono::steady_clock::now() + test_timeout;
    while (listening->open_streams() == 0 &&
           std::chrono::steady_clock::now() < limit)
    {
        run_for_one_ms(client_context);
        run_for_one_ms(server_context);
    }
    ASSERT_EQ(listening->open_streams(), 1U);
    listening.reset();
    ASSERT_TRUE(run_until(answer, client_context));
    ASSERT_FALSE(answer->value());
    EXPECT_EQ(answer->value().error(), stream_failure::cut);
}

asio::awaitable<void> close_idle_and_busy_sessions(asio::io_context& context)
{
    gate handler_gate;
    const auto server = listen_or_fail(context, gated_echo(handler_gate));
    const auto busy = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    const auto idle = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(busy && idle);
    const auto begun = (*busy)->open(get("/"), true);
    EXPECT_TRUE(begun);
    const auto entered = [&handler_gate]
    {
        return handler_gate.entered == 1;
    };
    co_await poll_until(entered);
    server->close_unconfirmed_sessions();
    const auto late = (*idle)->open(get("/"), true);
    EXPECT_TRUE(late);
    const auto refused = co_await read_response(**late);
    EXPECT_FALSE(refused);
    EXPECT_EQ(refused.error(), stream_failure::refused);
    handler_gate.open = true;
    const auto answer = co_await read_response(**begun);
    EXPECT_TRUE(answer);
    EXPECT_EQ(handler_gate.entered, 1);
    const auto all_closed = [&server]
    {
        return server->connections() == 0;
    };
    co_await poll_until(all_closed);
}

TEST(server, closing_unconfirmed_sessions_serves_streams_already_read)
{
    asio::io_context context(1);
    run(context, close_idle_and_busy_sessions(context));
}

asio::awaitable<void> answer_after_give_up(asio::io_context& context)
{
    int entered = 0;
    const auto serve =
        [&context, &entered](
            std::shared_ptr<server_stream> stream) -> asio::awaitable<void>
    {
        const auto ended = std::make_shared<bool>(false);
        stream->on_cancelled(
            [ended]
            {
                *ended = true;
            });
        ++entered;
        asio::steady_timer pause(context);
        while (!*ended)
        {
            pause.expires_after(std::chrono::milliseconds(1));
            co_await pause.async_wait(asio::use_awaitable);
        }
        response_head head{503, {}};
        co_await stream->write_head(std::move(head), true);
    };
    const auto server = listen_or_fail(context, serve);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    const auto stream = (*session)->open(get("/"), true);
    EXPECT_TRUE(stream);
    const auto begun = [&entered]
    {
        return entered == 1;
    };
    co_await poll_until(begun);
    server->give_up();
    const auto head = co_await (*stream)->read_head();
    EXPECT_TRUE(head);
    EXPECT_EQ(head->status, 503U);
}

// Guards against calls of other daemons being cut when a stop reaches its time
// limit.
TEST(server, a_handler_may_answer_after_give_up)
{
    asio::io_context context(1);
    run(context, answer_after_give_up(context));
}

} // namespace
} // namespace nutmegusher::wire
