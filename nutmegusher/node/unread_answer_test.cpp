#include "nutmegusher/node/http_server.hpp"
#include "nutmegusher/node/scripted_upstream.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
#include <future>
#include <memory>
#include <string>
#include <thread>

namespace nutmegusher::node
{
namespace
{

using tcp = asio::ip::tcp;

// More than the buffers of both sockets hold.
constexpr std::size_t answer_bytes = 64 * 1024 * 1024;

// A caller that doesn't read its answer.
class unread_answer : public ::testing::Test
{
protected:
    void serve(http_handler handler)
    {
        server = std::move(
            http_server::listen(context, test::any_port, std::move(handler), {})
                .value());
        thread = std::thread(
            [this]
            {
                context.run();
            });
        socket.connect(server->local_endpoint());
        const std::string_view text("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        asio::write(socket, asio::buffer(text));
    }

    ~unread_answer() override
    {
        context.stop();
        thread.join();
    }

    // Reads what has come until the connection ends; `last` are its last bytes.
    boost::system::error_code read_to_end()
    {
        std::array<char, 65536> chunk{};
        boost::system::error_code failed;
        while (!failed)
        {
            const auto got = socket.read_some(asio::buffer(chunk), failed);
            last = got > 0 ? std::string(chunk.data(), got) : last;
        }
        return failed;
    }

    asio::io_context own;
    tcp::socket socket{own};
    std::promise<bool> written;
    std::string last;
    asio::io_context context{1};
    std::unique_ptr<http_server> server;
    std::thread thread;
};

TEST_F(unread_answer, is_reset_when_it_gives_way)
{
    std::promise<std::function<void()>> ender;
    serve(
        [&](caller_exchange& exchange) -> asio::awaitable<void>
        {
            ender.set_value(exchange.make_ender());
            const std::string body(answer_bytes, 'a');
            wire::response_head head{200, {}};
            written.set_value(co_await exchange.answer(std::move(head), body));
        });
    // Has an effect once the answer waits for its reader.
    const auto end = ender.get_future().get();
    auto result = written.get_future();
    while (result.wait_for(std::chrono::milliseconds(1)) !=
           std::future_status::ready)
    {
        end();
    }
    EXPECT_FALSE(result.get());
    EXPECT_EQ(read_to_end(), asio::error::connection_reset);
    end(); // the exchange has gone
}

TEST_F(unread_answer, is_broken_off_at_its_time_limit)
{
    serve(
        [&](caller_exchange& exchange) -> asio::awaitable<void>
        {
            exchange.limit_writing(host_clock().now());
            const std::string part(65536, 'a');
            wire::response_head head{200, {}};
            bool open =
                co_await exchange.begin_answer(std::move(head), std::nullopt);
            while (open)
            {
                open = co_await exchange.write_some(
                    std::as_bytes(std::span(part)));
            }
            written.set_value(open);
        });
    EXPECT_FALSE(written.get_future().get());
    read_to_end();
    EXPECT_FALSE(last.ends_with("0\r\n\r\n"));
}

} // namespace
} // namespace nutmegusher::node
