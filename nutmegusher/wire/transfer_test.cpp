// Transfers of large bodies: integrity, truncation, and bounded memory.
#include "nutmegusher/wire/wire_test_relay.hpp"

namespace nutmegusher::wire
{
namespace
{

constexpr std::size_t large_body_bytes = 50 * 1024 * 1024;
constexpr std::size_t chunk_bytes = 40000;

// Bytes written and read so far, and the maximum of their difference.
struct transfer_counts
{
    std::size_t written = 0;
    std::size_t read = 0;
    std::size_t max_unread = 0;

    void update_max_unread()
    {
        max_unread = std::max(max_unread, written - read);
    }
};

// Fills `part` with the body's bytes at an offset; cheap to compute on both
// ends.
void fill_large_body(std::span<std::byte> part, std::size_t offset)
{
    for (std::size_t i = 0; i < part.size(); ++i)
    {
        const auto position = offset + i;
        part[i] = static_cast<std::byte>(position * 31 + position / 4096);
    }
}

template <class Stream>
asio::awaitable<void> write_large_body(Stream& stream, transfer_counts& counts)
{
    std::vector<std::byte> part(chunk_bytes);
    while (counts.written < large_body_bytes)
    {
        const auto left = large_body_bytes - counts.written;
        part.resize(std::min(left, chunk_bytes));
        fill_large_body(part, counts.written);
        const bool end = part.size() == left;
        const auto written = co_await stream.write(part, end);
        if (!written)
        {
            co_return;
        }
        counts.written += part.size();
        counts.update_max_unread();
    }
}

template <class Stream>
asio::awaitable<bool> read_large_body(Stream& stream, transfer_counts& counts)
{
    std::vector<std::byte> part(chunk_bytes);
    std::vector<std::byte> expected(chunk_bytes);
    bool same = true;
    for (;;)
    {
        const auto count = co_await stream.read_some(part);
        if (!count || *count == 0)
        {
            co_return same&& count&& counts.read == large_body_bytes;
        }
        const auto received = std::span(part).first(*count);
        const auto wanted = std::span(expected).first(*count);
        fill_large_body(wanted, counts.read);
        same = same && std::ranges::equal(received, wanted);
        counts.read += *count;
    }
}

// Unread bytes fit into one stream window, one write buffer and one chunk.
void expect_bounded(const transfer_counts& counts)
{
    const session_options limits;
    EXPECT_EQ(counts.read, large_body_bytes);
    EXPECT_LE(
        counts.max_unread,
        limits.stream_window + limits.max_write_buffer_bytes + chunk_bytes);
}

asio::awaitable<void> download(asio::io_context& context)
{
    transfer_counts counts;
    const auto serve = [&counts](std::shared_ptr<server_stream> stream)
        -> asio::awaitable<void>
    {
        static_cast<void>(co_await stream->write_head(response_head{}, false));
        co_await write_large_body(*stream, counts);
    };
    const auto server = listen_or_fail(context, serve);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    const auto stream = (*session)->open(get("/dossier"), true);
    EXPECT_TRUE(stream);
    // The writer fills the window and its buffer while nobody reads.
    const auto some_arrived = [&stream]
    {
        return (*stream)->buffered_bytes() > 0;
    };
    co_await poll_until(some_arrived);
    co_await sleep_for(std::chrono::milliseconds(50));
    const bool complete = co_await read_large_body(**stream, counts);
    EXPECT_TRUE(complete);
    expect_bounded(counts);
}

TEST(transfer, a_download_of_fifty_megabytes_is_whole_in_bounded_memory)
{
    asio::io_context context(1);
    run(context, download(context));
}

asio::awaitable<void> upload(asio::io_context& context)
{
    transfer_counts counts;
    bool complete = false;
    const auto serve =
        [&counts, &complete](
            std::shared_ptr<server_stream> stream) -> asio::awaitable<void>
    {
        const auto some_arrived = [stream]
        {
            return stream->buffered_bytes() > 0;
        };
        co_await poll_until(some_arrived);
        co_await sleep_for(std::chrono::milliseconds(50));
        complete = co_await read_large_body(*stream, counts);
        static_cast<void>(co_await stream->write_head(response_head{}, true));
    };
    const auto server = listen_or_fail(context, serve);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    const auto stream = (*session)->open(post("/dossier"), false);
    EXPECT_TRUE(stream);
    co_await write_large_body(**stream, counts);
    const auto head = co_await (*stream)->read_head();
    EXPECT_TRUE(head);
    EXPECT_TRUE(complete);
    expect_bounded(counts);
}

TEST(transfer, an_upload_of_fifty_megabytes_is_whole_in_bounded_memory)
{
    asio::io_context context(1);
    run(context, upload(context));
}

asio::awaitable<void> unread_stream(asio::io_context& context)
{
    const auto serve =
        [](std::shared_ptr<server_stream> stream) -> asio::awaitable<void>
    {
        transfer_counts unused;
        static_cast<void>(co_await stream->write_head(response_head{}, false));
        co_await write_large_body(*stream, unused);
    };
    const auto server = listen_or_fail(context, serve);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    const auto unread = (*session)->open(get("/unread"), true);
    EXPECT_TRUE(unread);
    const session_options limits;
    const auto window_is_full = [&unread, &limits]
    {
        return (*unread)->buffered_bytes() == limits.stream_window;
    };
    co_await poll_until(window_is_full);
    transfer_counts counts;
    const auto stream = (*session)->open(get("/read"), true);
    EXPECT_TRUE(stream);
    EXPECT_TRUE(co_await read_large_body(**stream, counts));
    EXPECT_EQ((*unread)->buffered_bytes(), limits.stream_window);
}

TEST(transfer, a_stream_that_nobody_reads_holds_up_no_other)
{
    asio::io_context context(1);
    run(context, unread_stream(context));
}

constexpr std::size_t answer_bytes = 3000;

asio::awaitable<void>
answer_of_known_size(std::shared_ptr<server_stream> stream)
{
    static_cast<void>(co_await stream->write_head(response_head{}, false));
    const auto body = make_body(1, answer_bytes);
    const auto bytes = std::as_bytes(std::span(body));
    static_cast<void>(co_await stream->write(bytes, true));
}

// Cuts the connection after a different byte count in each round.
asio::awaitable<void> cut_everywhere(asio::io_context& context)
{
    const auto server = listen_or_fail(context, answer_of_known_size);
    tcp_relay relay(context, server->local_endpoint());
    std::size_t complete = 0;
    std::size_t cut = 0;
    for (std::size_t limit = 60; limit < answer_bytes + 400; limit += 37)
    {
        relay.cut_answers_after(limit);
        const auto session = co_await client_session::connect(
            context, relay.endpoint(), session_options{});
        if (!session)
        {
            continue;
        }
        const auto stream = (*session)->open(get("/"), true);
        if (!stream)
        {
            EXPECT_EQ(stream.error(), stream_failure::not_connected);
            continue;
        }
        const auto body = co_await read_all(**stream);
        if (body)
        {
            EXPECT_EQ(body->size(), answer_bytes);
            ++complete;
            continue;
        }
        const bool never_sent = body.error() == stream_failure::refused;
        EXPECT_TRUE(never_sent || body.error() == stream_failure::cut);
        ++cut;
    }
    EXPECT_GT(complete, 0U);
    EXPECT_GT(cut, 0U);
}

TEST(transfer, a_cut_answer_is_never_a_clean_end)
{
    asio::io_context context(1);
    run(context, cut_everywhere(context));
}

asio::awaitable<void> shorter_than_declared(asio::io_context& context)
{
    const auto serve =
        [](std::shared_ptr<server_stream> stream) -> asio::awaitable<void>
    {
        response_head head;
        head.fields.push_back({"content-length", "100"});
        static_cast<void>(co_await stream->write_head(head, false));
        const auto body = make_body(1, 60);
        const auto bytes = std::as_bytes(std::span(body));
        static_cast<void>(co_await stream->write(bytes, true));
    };
    const auto server = listen_or_fail(context, serve);
    const auto session = co_await client_session::connect(
        context, server->local_endpoint(), session_options{});
    EXPECT_TRUE(session);
    const auto stream = (*session)->open(get("/"), true);
    EXPECT_TRUE(stream);
    const auto body = co_await read_all(**stream);
    EXPECT_FALSE(body);
    EXPECT_EQ(body.error(), stream_failure::protocol);
}

TEST(transfer, a_body_shorter_than_its_declared_length_fails)
{
    asio::io_context context(1);
    run(context, shorter_than_declared(context));
}

} // namespace
} // namespace nutmegusher::wire
