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

struct echo_tally
{
    int whole = 0;
    int ended = 0;
};

asio::awaitable<void>
expect_own_echo(client_session& session, std::uint64_t seed, echo_tally& tally)
{
    const auto size = 1 + seed * 7919 % 40000;
    const auto body = make_body(seed, size);
    const auto answer = co_await echo_once(session, body);
    tally.whole += answer && *answer == body ? 1 : 0;
    ++tally.ended;
}

asio::awaitable<void> interleave(asio::io_context& context, int streams)
{
    const auto server = listen_or_fail(context, echo);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    echo_tally tally;
    for (int i = 0; i < streams; ++i)
    {
        const auto seed = static_cast<std::uint64_t>(i);
        asio::co_spawn(
            context, expect_own_echo(**session, seed, tally), asio::detached);
    }
    co_await until(
        [&tally, streams]
        {
            return tally.ended == streams;
        });
    EXPECT_EQ(tally.whole, streams);
}

TEST(session, each_of_many_streams_gets_its_own_whole_answer)
{
    asio::io_context context(1);
    run(context, interleave(context, 200));
}

} // namespace
} // namespace nutmegusher::wire
