#include "nutmegusher/wire/wire_test_support.hpp"

namespace nutmegusher::wire
{
namespace
{

asio::awaitable<outcome<std::string, stream_failure>>
echo_once(client_session& session, std::string body)
{
    const auto opened = session.open(post("/echo"), false);
    if (!opened)
    {
        co_return opened.error();
    }
    client_stream& stream = **opened;
    const auto bytes = std::as_bytes(std::span(body));
    const auto written = co_await stream.write(bytes, true);
    if (!written)
    {
        co_return written.error();
    }
    const auto head = co_await stream.read_head();
    if (!head)
    {
        co_return head.error();
    }
    co_return co_await read_all(stream);
}

struct echo_counts
{
    int complete = 0;
    int ended = 0;
};

asio::awaitable<void> expect_own_echo(
    client_session& session, std::uint64_t seed, echo_counts& counts)
{
    const auto size = 1 + seed * 7919 % 40000;
    const auto body = make_body(seed, size);
    const auto answer = co_await echo_once(session, body);
    counts.complete += answer && *answer == body ? 1 : 0;
    ++counts.ended;
}

asio::awaitable<void> concurrent_echoes(asio::io_context& context, int streams)
{
    const auto server = listen_or_fail(context, echo);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    echo_counts counts;
    for (int i = 0; i < streams; ++i)
    {
        const auto seed = static_cast<std::uint64_t>(i);
        asio::co_spawn(
            context, expect_own_echo(**session, seed, counts), asio::detached);
    }
    const auto all_ended = [&counts, streams]
    {
        return counts.ended == streams;
    };
    co_await poll_until(all_ended);
    EXPECT_EQ(counts.complete, streams);
}

TEST(session, each_of_many_streams_gets_its_own_whole_answer)
{
    asio::io_context context(1);
    run(context, concurrent_echoes(context, 200));
}

// Returns the request's method, path and fields as response fields.
asio::awaitable<void> return_request_head(std::shared_ptr<server_stream> stream)
{
    response_head head;
    head.status = 203;
    head.fields = stream->head().fields;
    head.fields.push_back({"seen-method", stream->head().method});
    head.fields.push_back({"seen-path", stream->head().path});
    static_cast<void>(co_await stream->write_head(head, true));
}

asio::awaitable<void> header_round_trip(asio::io_context& context)
{
    const auto server = listen_or_fail(context, return_request_head);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    auto request = get("/a/b?c=d");
    request.fields.push_back({"nutmeg-class", "payouts"});
    request.fields.push_back({"connection", "keep-alive"});
    const auto stream = (*session)->open(request, true);
    EXPECT_TRUE(stream);
    const auto head = co_await (*stream)->read_head();
    EXPECT_TRUE(head);
    EXPECT_EQ(head->status, 203U);
    EXPECT_EQ(find_header(head->fields, "seen-method"), "GET");
    EXPECT_EQ(find_header(head->fields, "seen-path"), "/a/b?c=d");
    EXPECT_EQ(find_header(head->fields, "nutmeg-class"), "payouts");
    EXPECT_EQ(find_header(head->fields, "connection"), std::nullopt);
    EXPECT_EQ(co_await read_all(**stream), std::string());
}

TEST(session, heads_arrive_without_connection_specific_fields)
{
    asio::io_context context(1);
    run(context, header_round_trip(context));
}

asio::awaitable<void> large_request_head(asio::io_context& context)
{
    session_options small_head_limit;
    small_head_limit.max_header_bytes = 1024;
    const auto server =
        listen_or_fail(context, return_request_head, small_head_limit);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    auto request = get("/");
    request.fields.push_back({"wide", std::string(2000, 'x')});
    const auto stream = (*session)->open(request, true);
    EXPECT_TRUE(stream);
    EXPECT_FALSE(co_await (*stream)->read_head());
    // The connection stays open.
    const auto next = (*session)->open(get("/"), true);
    EXPECT_TRUE(next);
    EXPECT_TRUE(co_await (*next)->read_head());
    request.fields.push_back({"wider", std::string(20000, 'x')});
    const auto local = (*session)->open(request, true);
    EXPECT_FALSE(local);
    EXPECT_EQ(local.error(), stream_failure::too_large);
}

TEST(session, a_head_above_the_limit_fails_its_stream_only)
{
    asio::io_context context(1);
    run(context, large_request_head(context));
}

asio::awaitable<void> large_response_head(asio::io_context& context)
{
    const auto serve =
        [](std::shared_ptr<server_stream> stream) -> asio::awaitable<void>
    {
        response_head head;
        head.fields.push_back({"wide", std::string(2000, 'x')});
        static_cast<void>(co_await stream->write_head(head, true));
    };
    const auto server = listen_or_fail(context, serve);
    session_options small_head_limit;
    small_head_limit.max_header_bytes = 1024;
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), small_head_limit);
    EXPECT_TRUE(session);
    const auto stream = (*session)->open(get("/"), true);
    EXPECT_TRUE(stream);
    const auto head = co_await (*stream)->read_head();
    EXPECT_FALSE(head);
    EXPECT_EQ(head.error(), stream_failure::too_large);
}

TEST(session, a_response_head_above_the_limit_is_too_large)
{
    asio::io_context context(1);
    run(context, large_response_head(context));
}

asio::awaitable<void> deadline(asio::io_context& context)
{
    bool cancel_reported = false;
    const auto serve = [&cancel_reported](std::shared_ptr<server_stream> stream)
        -> asio::awaitable<void>
    {
        stream->on_cancelled(
            [&cancel_reported]
            {
                cancel_reported = true;
            });
        const auto cancelled = [stream]
        {
            return stream->cancelled();
        };
        co_await poll_until(cancelled);
    };
    const auto server = listen_or_fail(context, serve);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    const auto stream = (*session)->open(get("/"), true);
    EXPECT_TRUE(stream);
    (*stream)->expire_after(std::chrono::milliseconds(20));
    const auto head = co_await (*stream)->read_head();
    EXPECT_FALSE(head);
    EXPECT_EQ(head.error(), stream_failure::timed_out);
    const auto was_cancelled = [&cancel_reported]
    {
        return cancel_reported;
    };
    co_await poll_until(was_cancelled);
    const auto none_open = [&server]
    {
        return server->open_streams() == 0;
    };
    co_await poll_until(none_open);
}

TEST(session, a_stream_past_its_deadline_fails_and_stops_the_handler)
{
    asio::io_context context(1);
    run(context, deadline(context));
}

asio::awaitable<void> early_answer(asio::io_context& context)
{
    const auto serve =
        [](std::shared_ptr<server_stream> stream) -> asio::awaitable<void>
    {
        static_cast<void>(co_await stream->write_head(response_head{}, false));
        const auto body = make_body(1, 100000);
        const auto bytes = std::as_bytes(std::span(body));
        static_cast<void>(co_await stream->write(bytes, true));
    };
    const auto server = listen_or_fail(context, serve);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    const auto stream = (*session)->open(post("/"), false);
    EXPECT_TRUE(stream);
    const auto head = co_await (*stream)->read_head();
    EXPECT_TRUE(head);
    const auto body = co_await read_all(**stream);
    EXPECT_TRUE(body == make_body(1, 100000));
    // The server resets the rest of the request.
    const auto part = make_body(2, 100000);
    const auto bytes = std::as_bytes(std::span(part));
    auto written = co_await (*stream)->write(bytes, false);
    while (written)
    {
        written = co_await (*stream)->write(bytes, false);
    }
    EXPECT_EQ(written.error(), stream_failure::reset);
    const auto none_open = [&server]
    {
        return server->open_streams() == 0;
    };
    co_await poll_until(none_open);
    const auto client_has_none = [&session]
    {
        return (*session)->open_streams() == 0;
    };
    co_await poll_until(client_has_none);
}

TEST(session, an_answer_before_the_end_of_the_request_arrives_whole)
{
    asio::io_context context(1);
    run(context, early_answer(context));
}

asio::awaitable<void> many_cancelled(asio::io_context& context)
{
    const auto server = listen_or_fail(context, echo);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    for (int i = 0; i < 100; ++i)
    {
        const auto dropped = (*session)->open(post("/"), false);
        EXPECT_TRUE(dropped);
        if (i % 2 == 0)
        {
            co_await sleep_for(std::chrono::microseconds(100));
        }
        (*dropped)->cancel();
        const auto head = co_await (*dropped)->read_head();
        EXPECT_FALSE(head);
        EXPECT_EQ(head.error(), stream_failure::cancelled);
    }
    const auto client_has_none = [&session]
    {
        return (*session)->open_streams() == 0;
    };
    co_await poll_until(client_has_none);
    const auto none_open = [&server]
    {
        return server->open_streams() == 0;
    };
    co_await poll_until(none_open);
    EXPECT_TRUE((*session)->usable());
    EXPECT_EQ(co_await echo_once(**session, "after"), std::string("after"));
}

TEST(session, cancelled_streams_are_released_on_both_ends)
{
    asio::io_context context(1);
    run(context, many_cancelled(context));
}

asio::awaitable<void> never_ends(std::shared_ptr<server_stream> stream)
{
    std::array<std::byte, 16> part;
    static_cast<void>(co_await stream->read_some(part));
    co_await sleep_for(std::chrono::hours(1));
}

// Coroutines that are suspended when their io_context is destroyed are
// destroyed with it; the sanitizers report leaks.
TEST(session, destroying_the_io_context_destroys_suspended_streams)
{
    asio::io_context context(1);
    const auto server = listen_or_fail(context, never_ends);
    const auto client = [](asio::io_context& loop,
                           tcp::endpoint peer) -> asio::awaitable<void>
    {
        const auto session =
            co_await client_session::connect(loop, peer, session_options{});
        const auto stream = (*session)->open(post("/"), false);
        static_cast<void>(co_await (*stream)->read_head());
    };
    asio::co_spawn(
        context, client(context, server->local_endpoint()), asio::detached);
    const auto wait = [](const class server& running) -> asio::awaitable<void>
    {
        const auto one_open = [&running]
        {
            return running.open_streams() == 1;
        };
        co_await poll_until(one_open);
    };
    run(context, wait(*server));
}

} // namespace
} // namespace nutmegusher::wire
