// For tests: calls to upstreams that answer byte for byte as a test says.
#ifndef NUTMEGUSHER_NODE_UPSTREAM_CLIENT_FIXTURE_HPP
#define NUTMEGUSHER_NODE_UPSTREAM_CLIENT_FIXTURE_HPP

#include "nutmegusher/node/scripted_upstream.hpp"
#include "nutmegusher/node/upstream_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <gtest/gtest.h>

#include <array>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace nutmegusher::node::test
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using text_request = http::request<http::string_body>;

constexpr duration time_limit = std::chrono::seconds(20);
constexpr std::chrono::milliseconds part_interval(20);

// What a call ended with.
struct call_end
{
    std::optional<upstream_failure> failure;
    unsigned status = 0;
    std::string body;
};

inline asio::awaitable<call_end>
exchange(upstream_pool& pool, tcp::endpoint to, upstream_request request)
{
    auto sent = co_await pool.send(to, request);
    if (!sent)
    {
        co_return call_end{sent.error(), 0, {}};
    }
    auto& call = **sent;
    const auto head = co_await call.read_head();
    if (!head)
    {
        co_return call_end{head.error(), 0, {}};
    }
    call_end end{std::nullopt, head->status, {}};
    std::array<std::byte, 4096> chunk;
    auto got = co_await call.read_some(chunk);
    while (got && *got > 0)
    {
        end.body.append(reinterpret_cast<const char*>(chunk.data()), *got);
        got = co_await call.read_some(chunk);
    }
    if (!got)
    {
        end.failure = got.error();
    }
    co_return end;
}

inline std::string make_answer(std::string_view id, std::string_view body)
{
    return "HTTP/1.1 200 OK\r\nid: " + std::string(id) +
           "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string(body);
}

class upstream_client : public ::testing::Test
{
protected:
    ~upstream_client() override
    {
        context_.stop();
        thread_.join();
    }

    // Starts an upstream that answers each request with what `answer` returns
    // for it, byte for byte.
    void start(std::function<std::string(const text_request&)> answer)
    {
        upstream_ = std::make_unique<scripted_upstream>(
            [this, answer = std::move(answer)](tcp::socket& socket)
            {
                ++connections_;
                beast::flat_buffer buffer;
                boost::system::error_code failed;
                while (!failed)
                {
                    text_request request;
                    http::read(socket, buffer, request, failed);
                    if (!failed)
                    {
                        asio::write(
                            socket, asio::buffer(answer(request)), failed);
                    }
                }
            });
    }

    // Starts an upstream that answers a request with these parts, each of them
    // in a segment of its own.
    void start_in_parts(const std::vector<std::string>& parts)
    {
        upstream_ = std::make_unique<scripted_upstream>(
            [parts](tcp::socket& socket)
            {
                beast::flat_buffer buffer;
                text_request request;
                boost::system::error_code failed;
                http::read(socket, buffer, request, failed);
                socket.set_option(tcp::no_delay(true), failed);
                for (const auto& part : parts)
                {
                    asio::write(socket, asio::buffer(part), failed);
                    std::this_thread::sleep_for(part_interval);
                }
            });
    }

    // Starts an upstream that answers each request with `before`, with the
    // request's id in place of "@", and then `repeated` until the connection is
    // closed.
    void start_endless(const std::string& before, const std::string& repeated)
    {
        std::string block;
        constexpr std::size_t block_bytes = 16384;
        while (block.size() < block_bytes)
        {
            block += repeated;
        }
        upstream_ = std::make_unique<scripted_upstream>(
            [this, before, block](tcp::socket& socket)
            {
                ++connections_;
                beast::flat_buffer buffer;
                text_request request;
                boost::system::error_code failed;
                http::read(socket, buffer, request, failed);
                auto bytes = before;
                if (const auto at = bytes.find('@'); at != std::string::npos)
                {
                    bytes.replace(at, 1, std::string(request["id"]));
                }
                while (!failed)
                {
                    asio::write(socket, asio::buffer(bytes), failed);
                    bytes = block;
                }
            });
    }

    // See `make_early_answer`.
    void start_early_answer(const std::string& answer, connection_end end)
    {
        upstream_ =
            std::make_unique<scripted_upstream>(make_early_answer(answer, end));
    }

    // Starts an upstream that begins to read a request after a pause and
    // answers with the request's body.
    void start_late_reader()
    {
        upstream_ = std::make_unique<scripted_upstream>(
            [](tcp::socket& socket)
            {
                std::this_thread::sleep_for(10 * part_interval);
                beast::flat_buffer buffer;
                http::request_parser<http::string_body> parser;
                parser.body_limit(boost::none);
                boost::system::error_code failed;
                http::read(socket, buffer, parser, failed);
                const auto& request = parser.get();
                const auto answer =
                    make_answer(std::string(request["id"]), request.body());
                asio::write(socket, asio::buffer(answer), failed);
            });
    }

    call_end call(
        const std::string& id,
        const std::string& method = "POST",
        std::string_view body = "")
    {
        return run(make_request(id, method, body));
    }

    // Sends the body as the first part of a longer one.
    call_end call_streamed(const std::string& id, std::string_view body)
    {
        auto request = make_request(id, "POST", body);
        request.streamed = true;
        return run(request);
    }

    [[nodiscard]] int connections() const
    {
        return connections_;
    }

private:
    static upstream_request make_request(
        const std::string& id, const std::string& method, std::string_view body)
    {
        upstream_request request;
        request.body = body;
        request.head.method = method;
        request.head.path = "/";
        request.head.fields = {{"host", "a"}, {"id", id}};
        request.needs_fresh_connection = true;
        request.echoed_field = "id";
        request.time_left = time_limit;
        return request;
    }

    call_end run(const upstream_request& request)
    {
        return asio::co_spawn(
                   context_,
                   exchange(*pool_, upstream_->address(), request),
                   asio::use_future)
            .get();
    }

    std::atomic<int> connections_ = 0;
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_{
        context_.get_executor()};
    std::unique_ptr<upstream_pool> pool_ =
        std::make_unique<upstream_pool>(context_);
    std::unique_ptr<scripted_upstream> upstream_;
    std::thread thread_{[this]
                        {
                            context_.run();
                        }};
};

inline std::string own_answer(const text_request& request)
{
    return make_answer(std::string(request["id"]), "own");
}

} // namespace nutmegusher::node::test

#endif
