#include "nutmegusher/node/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <future>
#include <mutex>
#include <set>
#include <thread>

namespace nutmegusher::node
{
namespace
{

using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds test_limit(10'000);

std::string request_for(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
}

// Blocking client with one connection.
class caller
{
public:
    explicit caller(const tcp::endpoint& to)
        : socket_(context_)
    {
        socket_.connect(to);
    }

    void send(std::string_view text)
    {
        boost::system::error_code ignored;
        asio::write(socket_, asio::buffer(text), ignored);
    }

    // Reads until the connection ends; an empty text means no answer.
    std::string receive_all()
    {
        std::string text;
        std::array<char, 1024> chunk{};
        boost::system::error_code failed;
        while (!failed)
        {
            const auto read_size =
                socket_.read_some(asio::buffer(chunk), failed);
            text.append(chunk.data(), read_size);
        }
        return text;
    }

    // Reads one answer that has no body.
    std::string receive_head()
    {
        std::string text;
        boost::system::error_code ignored;
        asio::read_until(
            socket_, asio::dynamic_buffer(text), "\r\n\r\n", ignored);
        return text;
    }

private:
    asio::io_context context_;
    tcp::socket socket_;
};

class http_server_end : public ::testing::Test
{
protected:
    void serve(http_handler handler)
    {
        const tcp::endpoint any_port(asio::ip::make_address("127.0.0.1"), 0);
        server = std::move(
            http_server::listen(context, any_port, std::move(handler), {})
                .value());
        thread = std::thread(
            [this]
            {
                context.run();
            });
    }

    ~http_server_end() override
    {
        context.stop();
        thread.join();
    }

    // Runs `action` on the server's thread and returns its result.
    template <class Action>
    auto run_on_server(Action action)
    {
        std::promise<decltype(action())> result;
        asio::post(
            context,
            [&]
            {
                if constexpr (std::is_void_v<decltype(action())>)
                {
                    action();
                    result.set_value();
                }
                else
                {
                    result.set_value(action());
                }
            });
        return result.get_future().get();
    }

    void close_intake()
    {
        run_on_server(
            [this]
            {
                server->close_intake();
            });
    }

    void give_up()
    {
        run_on_server(
            [this]
            {
                server->give_up();
            });
    }

    std::size_t connections()
    {
        return run_on_server(
            [this]
            {
                return server->connections();
            });
    }

    bool wait_for(const std::function<bool()>& holds)
    {
        const auto until = host_clock().now() + test_limit;
        while (!holds() && host_clock().now() < until)
        {
            std::this_thread::sleep_for(milliseconds(1));
        }
        return holds();
    }

    bool wait_handled(std::size_t count)
    {
        return wait_for(
            [this, count]
            {
                return handled == count;
            });
    }

    // Answers 200 once `answers_held` is false, or 503 when the server gives
    // up.
    asio::awaitable<void> answer_when_released(caller_exchange& exchange)
    {
        ++handled;
        asio::steady_timer timer(context);
        bool given_up = false;
        exchange.on_give_up(
            [&given_up]
            {
                given_up = true;
            });
        while (answers_held && !given_up)
        {
            timer.expires_after(milliseconds(1));
            co_await timer.async_wait(asio::use_awaitable);
        }
        wire::response_head head{given_up ? 503U : 200U, {}};
        co_await exchange.answer(std::move(head), "");
    }

    void serve_when_released()
    {
        serve(
            [this](caller_exchange& exchange)
            {
                return answer_when_released(exchange);
            });
    }

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work =
        asio::make_work_guard(context);
    std::unique_ptr<http_server> server;
    std::atomic<bool> answers_held = false;
    std::atomic<std::size_t> handled = 0;
    std::thread thread;
};

// Requests arrive while the server closes, at every stage of reading. Each one
// that reached the handler must be answered, and no other.
TEST_F(http_server_end, a_request_that_was_read_has_an_answer)
{
    std::mutex mutex;
    std::set<std::string> handled_paths;
    serve(
        [&](caller_exchange& exchange) -> asio::awaitable<void>
        {
            {
                const std::scoped_lock lock(mutex);
                handled_paths.insert(exchange.head().path);
            }
            wire::response_head head{200, {}};
            co_await exchange.answer(std::move(head), "");
        });
    constexpr std::size_t callers = 64;
    std::vector<std::unique_ptr<caller>> all;
    all.reserve(callers);
    for (std::size_t i = 0; i < callers; ++i)
    {
        all.push_back(std::make_unique<caller>(server->local_endpoint()));
    }
    EXPECT_TRUE(wait_for(
        [this]
        {
            return connections() == callers;
        }));
    std::thread closing(
        [this]
        {
            std::this_thread::sleep_for(std::chrono::microseconds(300));
            close_intake();
        });
    for (std::size_t i = 0; i < callers; ++i)
    {
        all[i]->send(request_for("/" + std::to_string(i)));
    }
    closing.join();
    for (std::size_t i = 0; i < callers; ++i)
    {
        const auto answer = all[i]->receive_all();
        const std::scoped_lock lock(mutex);
        EXPECT_EQ(
            answer.empty(), !handled_paths.contains("/" + std::to_string(i)));
    }
    EXPECT_TRUE(wait_for(
        [this]
        {
            return connections() == 0;
        }));
}

// A request whose head was partly read before the close must still be served.
TEST_F(http_server_end, a_head_that_has_begun_is_served)
{
    serve_when_released();
    caller client(server->local_endpoint());
    const auto request = request_for("/");
    client.send(request.substr(0, 10));
    std::this_thread::sleep_for(milliseconds(20));
    close_intake();
    EXPECT_EQ(connections(), 1U);
    client.send(request.substr(10));
    EXPECT_NE(client.receive_all().find("200 OK"), std::string::npos);
    EXPECT_EQ(connections(), 0U);
}

// Guards against an abort of the process by a body whose last bytes come in
// parts.
TEST_F(http_server_end, an_empty_chunked_body_may_arrive_in_parts)
{
    serve(
        [](caller_exchange& exchange) -> asio::awaitable<void>
        {
            std::array<std::byte, 16> chunk{};
            const auto size = co_await exchange.read_some(chunk);
            wire::response_head head{size && *size == 0 ? 200U : 500U, {}};
            co_await exchange.answer(std::move(head), "");
        });
    caller client(server->local_endpoint());
    client.send("POST / HTTP/1.1\r\nHost: a.example\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    for (const auto* const part : {"0\r\n", "\r", "\n"})
    {
        std::this_thread::sleep_for(milliseconds(20));
        client.send(part);
    }
    EXPECT_NE(client.receive_head().find("200 OK"), std::string::npos);
}

TEST_F(http_server_end, an_answer_during_the_close_says_so)
{
    answers_held = true;
    serve_when_released();
    caller client(server->local_endpoint());
    client.send(request_for("/"));
    EXPECT_TRUE(wait_handled(1));
    close_intake();
    answers_held = false;
    EXPECT_NE(
        client.receive_all().find("Connection: close"), std::string::npos);
}

TEST_F(http_server_end, takes_no_connection_after_the_close)
{
    serve_when_released();
    const auto address = server->local_endpoint();
    caller idle(address);
    close_intake();
    EXPECT_EQ(idle.receive_all(), "");
    EXPECT_THROW(caller{address}, boost::system::system_error);
}

TEST_F(http_server_end, a_request_in_flight_is_answered_on_give_up)
{
    answers_held = true;
    serve_when_released();
    caller client(server->local_endpoint());
    client.send(request_for("/"));
    EXPECT_TRUE(wait_handled(1));
    close_intake();
    give_up();
    EXPECT_NE(client.receive_all().find("503"), std::string::npos);
    EXPECT_EQ(connections(), 0U);
}

TEST_F(http_server_end, a_body_that_has_not_come_is_given_up_on)
{
    std::optional<caller_failure> seen;
    serve(
        [&](caller_exchange& exchange) -> asio::awaitable<void>
        {
            ++handled;
            std::array<std::byte, 16> chunk;
            const auto read_size = co_await exchange.read_some(chunk);
            seen = read_size ? std::nullopt : std::optional(read_size.error());
        });
    caller client(server->local_endpoint());
    client.send(
        "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9\r\n\r\n");
    EXPECT_TRUE(wait_handled(1));
    close_intake();
    give_up();
    EXPECT_NE(client.receive_all().find("502"), std::string::npos);
    EXPECT_EQ(seen, caller_failure::given_up);
}

// Guards against a request that is read while the server gives up and never
// learns of it. The number of event-loop hops before the close varies, so that
// it meets each stage of reading.
TEST_F(http_server_end, a_head_that_comes_while_it_gives_up_is_answered)
{
    answers_held = true;
    serve_when_released();
    constexpr int max_hops = 6;
    for (int hops = 0; hops <= max_hops; ++hops)
    {
        SCOPED_TRACE(hops);
        if (hops > 0)
        {
            const tcp::endpoint any_port(
                asio::ip::make_address("127.0.0.1"), 0);
            server = run_on_server(
                [&]
                {
                    return std::move(http_server::listen(
                                         context,
                                         any_port,
                                         [this](caller_exchange& exchange)
                                         {
                                             return answer_when_released(
                                                 exchange);
                                         },
                                         {})
                                         .value());
                });
        }
        answers_held = true;
        caller client(server->local_endpoint());
        EXPECT_TRUE(wait_for(
            [this]
            {
                return connections() == 1;
            }));
        // The request's bytes arrive before the event loop next polls its
        // sockets; the server closes and gives up `hops` handlers later.
        std::function<void(int)> give_up_after_hops = [&](int left)
        {
            if (left > 0)
            {
                asio::post(
                    context,
                    [&give_up_after_hops, left]
                    {
                        give_up_after_hops(left - 1);
                    });
                return;
            }
            server->close_intake();
            server->give_up();
        };
        run_on_server(
            [&]
            {
                client.send(request_for("/"));
                std::this_thread::sleep_for(milliseconds(20));
                give_up_after_hops(hops);
            });
        const auto until = host_clock().now() + milliseconds(2000);
        while (connections() > 0 && host_clock().now() < until)
        {
            std::this_thread::sleep_for(milliseconds(1));
        }
        EXPECT_EQ(connections(), 0U)
            << "request in flight wasn't notified of give_up";
        answers_held = false;
        EXPECT_TRUE(wait_for(
            [this]
            {
                return connections() == 0;
            }));
    }
}

// A handler may call on_give_up only after the server has given up:
// `forward_try` first waits for a connection.
TEST_F(http_server_end, on_give_up_after_give_up_calls_back_at_once)
{
    answers_held = true;
    std::atomic<bool> notified = false;
    serve(
        [&](caller_exchange& exchange) -> asio::awaitable<void>
        {
            ++handled;
            asio::steady_timer timer(context);
            while (answers_held)
            {
                timer.expires_after(milliseconds(1));
                co_await timer.async_wait(asio::use_awaitable);
            }
            exchange.on_give_up(
                [&notified]
                {
                    notified = true;
                });
            const auto until = host_clock().now() + milliseconds(2000);
            while (!notified && host_clock().now() < until)
            {
                timer.expires_after(milliseconds(1));
                co_await timer.async_wait(asio::use_awaitable);
            }
            wire::response_head head{notified ? 503U : 200U, {}};
            co_await exchange.answer(std::move(head), "");
        });
    caller client(server->local_endpoint());
    client.send(request_for("/"));
    EXPECT_TRUE(wait_handled(1));
    close_intake();
    give_up();
    answers_held = false;
    EXPECT_NE(client.receive_all().find("503"), std::string::npos);
    EXPECT_TRUE(notified);
}

// A handler that starts to read the body after the server has given up must not
// wait for it.
TEST_F(http_server_end, a_body_read_after_give_up_fails_at_once)
{
    answers_held = true;
    std::optional<caller_failure> seen;
    serve(
        [&](caller_exchange& exchange) -> asio::awaitable<void>
        {
            ++handled;
            asio::steady_timer timer(context);
            while (answers_held)
            {
                timer.expires_after(milliseconds(1));
                co_await timer.async_wait(asio::use_awaitable);
            }
            std::array<std::byte, 16> chunk;
            const auto read_size = co_await exchange.read_some(chunk);
            seen = read_size ? std::nullopt : std::optional(read_size.error());
        });
    caller client(server->local_endpoint());
    client.send(
        "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9\r\n\r\n");
    EXPECT_TRUE(wait_handled(1));
    close_intake();
    give_up();
    answers_held = false;
    const auto until = host_clock().now() + milliseconds(2000);
    while (connections() > 0 && host_clock().now() < until)
    {
        std::this_thread::sleep_for(milliseconds(1));
    }
    EXPECT_EQ(connections(), 0U);
    client.send("123456789");
    EXPECT_TRUE(wait_for(
        [this]
        {
            return connections() == 0;
        }));
}

// Guards against closing a connection with unread request bytes, which resets
// it and loses the end of the answer.
TEST_F(http_server_end, an_answer_before_the_body_was_read_arrives_whole)
{
    const std::string large(1024 * 1024, 'x');
    serve(
        [&](caller_exchange& exchange) -> asio::awaitable<void>
        {
            wire::response_head head{413, {}};
            co_await exchange.answer(std::move(head), large);
        });
    constexpr std::size_t body_bytes = 4 * 1024 * 1024;
    caller client(server->local_endpoint());
    std::thread sending(
        [&client]
        {
            client.send(
                "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: " +
                std::to_string(body_bytes) + "\r\n\r\n");
            client.send(std::string(body_bytes, 'y'));
        });
    std::this_thread::sleep_for(milliseconds(50));
    const auto answer = client.receive_all();
    sending.join();
    EXPECT_GT(answer.size(), large.size());
}

} // namespace
} // namespace nutmegusher::node
