#include "nutmegusher/wire/wire_test_relay.hpp"

namespace nutmegusher::wire
{
namespace
{

asio::awaitable<void> get_into(
    session_pool& pool, tcp::endpoint peer, std::vector<client_session*>& all)
{
    const auto session = co_await pool.get(peer);
    EXPECT_TRUE(session);
    all.push_back(session->get());
}

asio::awaitable<void> concurrent_gets(asio::io_context& context)
{
    const auto server = listen_or_fail(context, echo);
    session_pool pool(context, session_options{});
    std::vector<client_session*> all;
    for (int i = 0; i < 20; ++i)
    {
        asio::co_spawn(
            context,
            get_into(pool, server->local_endpoint(), all),
            asio::detached);
    }
    const auto all_have_one = [&all]
    {
        return all.size() == 20;
    };
    co_await poll_until(all_have_one);
    EXPECT_EQ(std::ranges::count(all, all.front()), 20);
    EXPECT_EQ(pool.sessions(), 1U);
    const auto bulk =
        co_await pool.get(server->local_endpoint(), traffic::long_transfers);
    EXPECT_TRUE(bulk);
    EXPECT_NE(bulk->get(), all.front());
    EXPECT_EQ(pool.sessions(), 2U);
}

TEST(session_pool, callers_share_one_connect_but_not_with_transfers)
{
    asio::io_context context(1);
    run(context, concurrent_gets(context));
}

asio::awaitable<void> wait_for_cancel(std::shared_ptr<server_stream> stream)
{
    const auto cancelled = [stream]
    {
        return stream->cancelled();
    };
    co_await poll_until(cancelled);
}

asio::awaitable<void> full_sessions(asio::io_context& context)
{
    session_options low_limits;
    low_limits.max_concurrent_streams = 2;
    low_limits.max_sessions_per_endpoint = 3;
    const auto server = listen_or_fail(context, wait_for_cancel, low_limits);
    session_pool pool(context, low_limits);
    std::vector<std::unique_ptr<client_stream>> held;
    for (int i = 0; i < 6; ++i)
    {
        const auto session = co_await pool.get(server->local_endpoint());
        EXPECT_TRUE(session);
        auto stream = (*session)->open(get("/"), true);
        EXPECT_TRUE(stream);
        held.push_back(std::move(*stream));
    }
    EXPECT_EQ(pool.sessions(), 3U);
    const auto none = co_await pool.get(server->local_endpoint());
    EXPECT_FALSE(none);
    EXPECT_EQ(none.error(), stream_failure::refused);
    held.pop_back();
    const auto has_free_stream = [&pool, &server]
    {
        return pool.find(server->local_endpoint()) != nullptr;
    };
    co_await poll_until(has_free_stream);
}

TEST(session_pool, another_session_is_opened_where_all_are_full)
{
    asio::io_context context(1);
    run(context, full_sessions(context));
}

asio::awaitable<void> idle_session(asio::io_context& context)
{
    session_options short_timeouts;
    short_timeouts.ping_interval = std::chrono::milliseconds(10);
    short_timeouts.idle_ping_interval = std::chrono::milliseconds(20);
    short_timeouts.idle_timeout = std::chrono::milliseconds(60);
    const auto server = listen_or_fail(context, echo);
    session_pool pool(context, short_timeouts);
    const auto first =
        co_await call(pool, server->local_endpoint(), "/", "one", test_timeout);
    EXPECT_EQ(first, std::string("one"));
    const auto none_pooled = [&pool]
    {
        return pool.sessions() == 0;
    };
    co_await poll_until(none_pooled);
    const auto none_connected = [&server]
    {
        return server->connections() == 0;
    };
    co_await poll_until(none_connected);
    const auto second =
        co_await call(pool, server->local_endpoint(), "/", "two", test_timeout);
    EXPECT_EQ(second, std::string("two"));
}

TEST(session_pool, an_idle_session_is_closed_and_replaced_on_demand)
{
    asio::io_context context(1);
    run(context, idle_session(context));
}

asio::awaitable<void> nobody_listens(asio::io_context& context)
{
    tcp::endpoint closed_port;
    {
        const tcp::acceptor acceptor(context, any_port());
        closed_port = acceptor.local_endpoint();
    }
    session_options options;
    options.connect_backoff = std::chrono::hours(1);
    session_pool pool(context, options);
    for (int i = 0; i < 3; ++i)
    {
        const auto session = co_await pool.get(closed_port);
        EXPECT_FALSE(session);
        EXPECT_EQ(session.error(), stream_failure::not_connected);
    }
}

TEST(session_pool, a_failed_connect_fails_all_that_wait_for_it)
{
    asio::io_context context(1);
    run(context, nobody_listens(context));
}

asio::awaitable<void> caller_deadline(asio::io_context& context)
{
    const tcp::acceptor acceptor(context, any_port());
    session_options long_timeout;
    long_timeout.connect_timeout = test_timeout;
    session_pool pool(context, long_timeout);
    const auto answer = co_await call(
        pool,
        acceptor.local_endpoint(),
        "/",
        "",
        std::chrono::milliseconds(30));
    EXPECT_FALSE(answer);
    EXPECT_EQ(answer.error(), stream_failure::timed_out);
}

TEST(session_pool, a_caller_waits_for_a_connect_until_its_own_deadline_only)
{
    asio::io_context context(1);
    run(context, caller_deadline(context));
}

// A listener with a full backlog. It drops further connection attempts, as a
// host without power does.
class full_backlog_listener
{
public:
    explicit full_backlog_listener(asio::io_context& context)
        : acceptor_(context)
        , first_(context)
    {
        acceptor_.open(tcp::v4());
        acceptor_.bind(any_port());
        acceptor_.listen(0);
        first_.connect(acceptor_.local_endpoint());
    }

    [[nodiscard]] tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

private:
    tcp::acceptor acceptor_;
    // Occupies the only place in the backlog.
    tcp::socket first_;
};

asio::awaitable<void> unreachable_peer(asio::io_context& context)
{
    const full_backlog_listener peer(context);
    session_pool pool(context, session_options{});
    const auto begin = std::chrono::steady_clock::now();
    const auto session = co_await pool.get(peer.address());
    EXPECT_FALSE(session);
    EXPECT_EQ(session.error(), stream_failure::timed_out);
    const auto spent = std::chrono::steady_clock::now() - begin;
    EXPECT_LT(spent, session_options().connect_timeout);
}

TEST(session_pool, an_unreachable_peer_times_out_before_tcp_retransmits)
{
    asio::io_context context(1);
    run(context, unreachable_peer(context));
}

asio::awaitable<void> removed_endpoint(asio::io_context& context)
{
    const auto server = listen_or_fail(context, wait_for_cancel);
    session_pool pool(context, session_options{});
    const auto peer = server->local_endpoint();
    {
        const auto session = co_await pool.get(peer);
        EXPECT_TRUE(session);
        const auto stream = (*session)->open(get("/"), true);
        EXPECT_TRUE(stream);
        const auto one_open = [&server]
        {
            return server->open_streams() == 1;
        };
        co_await poll_until(one_open);
        pool.remove_endpoint(peer);
        EXPECT_EQ(pool.sessions(), 0U);
        EXPECT_EQ((*session)->open_streams(), 1U);
        EXPECT_EQ(server->open_streams(), 1U);
    }
    const auto none_connected = [&server]
    {
        return server->connections() == 0;
    };
    co_await poll_until(none_connected);
}

TEST(session_pool, a_removed_endpoint_keeps_its_streams_until_they_end)
{
    asio::io_context context(1);
    run(context, removed_endpoint(context));
}

asio::awaitable<void> unary_calls(asio::io_context& context)
{
    const auto serve =
        [](std::shared_ptr<server_stream> stream) -> asio::awaitable<void>
    {
        if (stream->head().path == "/echo")
        {
            co_await echo(stream);
            co_return;
        }
        response_head head;
        head.status = 404;
        static_cast<void>(co_await stream->write_head(head, true));
    };
    const auto server = listen_or_fail(context, serve);
    const auto peer = server->local_endpoint();
    session_pool pool(context, session_options{});
    const auto body = make_body(9, 300000);
    const auto answer = co_await call(pool, peer, "/echo", body, test_timeout);
    EXPECT_TRUE(answer == body);
    EXPECT_EQ(
        co_await call(pool, peer, "/echo", "", test_timeout), std::string());
    const auto unknown = co_await call(pool, peer, "/none", "", test_timeout);
    EXPECT_FALSE(unknown);
    EXPECT_EQ(unknown.error(), stream_failure::bad_status);
}

TEST(call, gives_the_whole_answer_or_a_failure)
{
    asio::io_context context(1);
    run(context, unary_calls(context));
}

} // namespace
} // namespace nutmegusher::wire
