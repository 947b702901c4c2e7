#include "nutmegusher/ctl/ctl.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <string>
#include <thread>

namespace nutmegusher::ctl
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

// Accepts one connection, replies with the given bytes and ends it.
class one_reply_server
{
public:
    enum class end
    {
        close,
        reset
    };

    explicit one_reply_server(std::string bytes, end how = end::close)
        : end_(how)
        , acceptor_(
              context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , thread_(
              [this, bytes = std::move(bytes)]
              {
                  serve(bytes);
              })
    {
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    // The request's header as received. Waits until the exchange has ended.
    std::string received_request()
    {
        thread_.join();
        return received_request_;
    }

private:
    void serve(const std::string& bytes)
    {
        tcp::socket socket(context_);
        acceptor_.accept(socket);
        boost::system::error_code ignored;
        asio::read_until(
            socket,
            asio::dynamic_buffer(received_request_),
            "\r\n\r\n",
            ignored);
        asio::write(socket, asio::buffer(bytes), ignored);
        if (end_ == end::reset)
        {
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            // The destructor would wait for what hasn't been sent.
            socket.close(ignored);
        }
    }

    const end end_;
    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::string received_request_;
    std::jthread thread_;
};

exchange_result
exchange_with(const std::string& address, const http_query& query)
{
    auto exchange = connect_with_beast(address, std::chrono::seconds(20));
    EXPECT_TRUE(exchange);
    return (*exchange)(query);
}

TEST(connect_with_beast, sends_a_query_and_reads_the_reply)
{
    one_reply_server server(
        "HTTP/1.1 202 Accepted\r\nContent-Length: 4\r\n\r\ndone");
    const auto reply =
        exchange_with(server.address(), {"POST", "/v1/drain", "{}"});
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->status, 202U);
    EXPECT_EQ(reply->body, "done");
    EXPECT_EQ(
        server.received_request().find("POST /v1/drain HTTP/1.1\r\n"), 0U);
}

TEST(connect_with_beast, truncated_reply_is_a_lost_connection)
{
    one_reply_server server(
        "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\ndone");
    const auto reply = exchange_with(server.address(), {"GET", "/v1/dump", ""});
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error(), exchange_failure::connection_lost);
    server.received_request();
}

TEST(connect_with_beast, non_http_bytes_are_a_bad_reply)
{
    one_reply_server server("no http here\r\n\r\n");
    const auto reply = exchange_with(server.address(), {"GET", "/v1/dump", ""});
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error(), exchange_failure::bad_reply);
    server.received_request();
}

TEST(connect_with_beast, a_status_that_is_not_final_is_a_bad_reply)
{
    for (const auto* const status : {"000", "099", "103", "600", "999"})
    {
        one_reply_server server(
            "HTTP/1.1 " + std::string(status) +
            " OK\r\nContent-Length: 4\r\n\r\ndone");
        const auto reply =
            exchange_with(server.address(), {"GET", "/v1/dump", ""});
        ASSERT_FALSE(reply) << status;
        EXPECT_EQ(reply.error(), exchange_failure::bad_reply) << status;
        server.received_request();
    }
}

// The part before the reset isn't the whole reply.
TEST(connect_with_beast, a_reply_without_a_length_that_is_reset_is_lost)
{
    one_reply_server server(
        "HTTP/1.1 200 OK\r\n\r\npart", one_reply_server::end::reset);
    const auto reply = exchange_with(server.address(), {"GET", "/v1/dump", ""});
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error(), exchange_failure::connection_lost);
    server.received_request();
}

TEST(connect_with_beast, refused_connection_is_unreachable)
{
    std::string address;
    {
        asio::io_context context;
        const tcp::acceptor closed(
            context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        address = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
    }
    const auto reply = exchange_with(address, {"GET", "/v1/dump", ""});
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error(), exchange_failure::unreachable);
}

TEST(connect_with_beast, rejects_invalid_addresses)
{
    for (const auto* const text :
         {"",
          "127.0.0.1",
          "host:80",
          "127.0.0.1:",
          "127.0.0.1:x",
          "1.2.3.4:0",
          "127.0.0.1:99999"})
    {
        EXPECT_FALSE(connect_with_beast(text, std::chrono::seconds(1))) << text;
    }
}

} // namespace
} // namespace nutmegusher::ctl
