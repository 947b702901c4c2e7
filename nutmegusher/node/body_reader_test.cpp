#include "nutmegusher/node/body_reader.hpp"
#include "nutmegusher/node/scripted_upstream.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <string>
#include <thread>

namespace nutmegusher::node
{
namespace
{

using tcp = asio::ip::tcp;

constexpr std::uint64_t kib = 1024;
constexpr std::uint64_t most = 100 * kib;

// A server that answers how the reading of a body ended.
class body_reader_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        const auto handler = [this](caller_exchange& exchange)
        {
            return answer(exchange);
        };
        server = std::move(
            http_server::listen(context, test::any_port, handler, {}).value());
        thread = std::thread(
            [this]
            {
                context.run();
            });
    }

    ~body_reader_test() override
    {
        context.stop();
        thread.join();
    }

    asio::awaitable<void> answer(caller_exchange& exchange)
    {
        if (wire::find_header(exchange.head().fields, "x-hasty"))
        {
            exchange.limit_reading(host_clock().now());
        }
        held_memory memory(account, exchange);
        const auto read = co_await read_text_body(exchange, most, memory);
        const std::string text =
            read ? std::to_string(read->size()) + " " + read->substr(0, 1)
                 : std::string(to_string(read.error()));
        wire::response_head head{200, {}};
        co_await exchange.answer(std::move(head), text);
    }

    // Sends a request and returns the answer's body.
    std::string ask(const std::string& fields, const std::string& body)
    {
        asio::io_context own;
        tcp::socket socket(own);
        socket.connect(server->local_endpoint());
        boost::system::error_code ignored;
        const auto text =
            "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n" + fields +
            "\r\n" + body;
        asio::write(socket, asio::buffer(text), ignored);
        std::string answer;
        std::array<char, 1024> chunk{};
        boost::system::error_code failed;
        while (!failed)
        {
            const auto got = socket.read_some(asio::buffer(chunk), failed);
            answer.append(chunk.data(), got);
        }
        const auto end = answer.find("\r\n\r\n");
        return end == std::string::npos ? answer : answer.substr(end + 4);
    }

    static std::string length_field(std::uint64_t length)
    {
        return "content-length: " + std::to_string(length) + "\r\n";
    }

    static std::string in_chunks(std::size_t size, std::size_t chunk)
    {
        std::string text;
        for (std::size_t sent = 0; sent < size; sent += chunk)
        {
            std::array<char, 16> length{};
            std::snprintf(length.data(), length.size(), "%zx\r\n", chunk);
            text += length.data() + std::string(chunk, 'c') + "\r\n";
        }
        return text + "0\r\n\r\n";
    }

    static constexpr const char* chunked = "transfer-encoding: chunked\r\n";

    memory_account account{
        "requests",
        []
        {
            return 4 * most;
        }};
    asio::io_context context{1};
    std::unique_ptr<http_server> server;
    std::thread thread;
};

TEST_F(body_reader_test, reads_bodies_with_and_without_a_length)
{
    EXPECT_EQ(ask("", ""), "0 ");
    EXPECT_EQ(ask(length_field(0), ""), "0 ");
    for (const std::size_t size : {1, 4096, 4097, 20'000, 102'400})
    {
        const auto expected = std::to_string(size);
        EXPECT_EQ(
            ask(length_field(size), std::string(size, 'b')), expected + " b");
    }
    EXPECT_EQ(ask(chunked, in_chunks(0, 1)), "0 ");
    EXPECT_EQ(ask(chunked, in_chunks(5000, 1)), "5000 c");
    EXPECT_EQ(ask(chunked, in_chunks(most, 1024)), "102400 c");
}

// Nothing is sent after the head.
TEST_F(body_reader_test, refuses_an_announced_length_at_its_head)
{
    EXPECT_EQ(ask(length_field(most + 1), ""), "too-large");
}

TEST_F(body_reader_test, refuses_chunks_beyond_the_limit)
{
    EXPECT_EQ(ask(chunked, in_chunks(most + 1, 1)), "too-large");
}

TEST_F(body_reader_test, refuses_trailers_beyond_the_head_limit)
{
    const std::string trailer = "x: " + std::string(70'000, 't') + "\r\n";
    EXPECT_EQ(ask(chunked, "1\r\nc\r\n0\r\n" + trailer), "too-large");
    EXPECT_EQ(ask(chunked, "1;" + std::string(70'000, 'e')), "too-large");
}

// The rest of the body isn't sent.
TEST_F(body_reader_test, ends_a_body_that_does_not_come_in_time)
{
    const std::string hasty = "x-hasty: yes\r\n";
    EXPECT_EQ(
        ask(hasty + length_field(1000), std::string(1000, 'b')), "1000 b");
    EXPECT_EQ(ask(hasty + length_field(1000), "b"), "too-slow");
    EXPECT_EQ(ask(hasty + chunked, "1\r\nc\r\n"), "too-slow");
}

TEST_F(body_reader_test, refuses_what_there_is_no_memory_for)
{
    held_memory other(account);
    ASSERT_TRUE(other.take(3 * most));
    EXPECT_EQ(ask(length_field(most), std::string(most, 'b')), "no-room");
    EXPECT_EQ(ask(length_field(1000), std::string(1000, 'b')), "1000 b");
}

} // namespace
} // namespace nutmegusher::node
