#include "nutmegusher/node/http_server.hpp"
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

constexpr std::uint32_t header_bytes = 2048;

// A server whose bounds come from outside, as those of the configuration do.
class request_bounds_test : public ::testing::Test
{
protected:
    void SetUp() override
    {
        http_server_options options;
        options.bounds = [this]
        {
            return bounds;
        };
        const auto handler =
            [](caller_exchange& exchange) -> asio::awaitable<void>
        {
            wire::response_head head{200, {}};
            co_await exchange.answer(std::move(head), "");
        };
        server = std::move(
            http_server::listen(context, test::any_port, handler, options)
                .value());
        thread = std::thread(
            [this]
            {
                context.run();
            });
    }

    ~request_bounds_test() override
    {
        context.stop();
        thread.join();
    }

    // Sends the text and returns all that comes until the connection ends.
    std::string send(const std::string& text)
    {
        asio::io_context own;
        tcp::socket socket(own);
        socket.connect(server->local_endpoint());
        boost::system::error_code failed;
        asio::write(socket, asio::buffer(text), failed);
        std::string answer;
        std::array<char, 1024> chunk{};
        while (!failed)
        {
            const auto got = socket.read_some(asio::buffer(chunk), failed);
            answer.append(chunk.data(), got);
        }
        return answer;
    }

    // Read by the server's thread; tests set it before they connect.
    request_bounds bounds{
        header_bytes,
        std::chrono::milliseconds(50),
        std::chrono::milliseconds(50)};
    asio::io_context context{1};
    std::unique_ptr<http_server> server;
    std::thread thread;
};

TEST_F(request_bounds_test, closes_a_connection_without_a_request)
{
    EXPECT_EQ(send(""), "");
}

TEST_F(request_bounds_test, closes_a_connection_with_half_a_head)
{
    EXPECT_EQ(send("GET / HTTP/1.1\r\nhost: "), "");
}

TEST_F(request_bounds_test, closes_a_connection_after_its_last_answer)
{
    EXPECT_TRUE(
        send("GET / HTTP/1.1\r\nhost: a\r\n\r\n").starts_with("HTTP/1.1 200"));
}

TEST_F(request_bounds_test, refuses_a_head_over_the_limit)
{
    const std::string field = "x: " + std::string(2 * header_bytes, 'h');
    EXPECT_TRUE(send("GET / HTTP/1.1\r\nhost: a\r\n" + field + "\r\n\r\n")
                    .starts_with("HTTP/1.1 431"));
}

} // namespace
} // namespace nutmegusher::node
