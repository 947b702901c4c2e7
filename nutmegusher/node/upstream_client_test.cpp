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

namespace nutmegusher::node
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using test::scripted_upstream;
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

asio::awaitable<call_end>
exchange(upstream_pool& pool, test::tcp::endpoint to, upstream_request request)
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

std::string make_answer(std::string_view id, std::string_view body)
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
            [this, answer = std::move(answer)](test::tcp::socket& socket)
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
            [parts](test::tcp::socket& socket)
            {
                beast::flat_buffer buffer;
                text_request request;
                boost::system::error_code failed;
                http::read(socket, buffer, request, failed);
                socket.set_option(test::tcp::no_delay(true), failed);
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
            [this, before, block](test::tcp::socket& socket)
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

    // Starts an upstream that begins to read a request after a pause and
    // answers with the request's body.
    void start_late_reader()
    {
        upstream_ = std::make_unique<scripted_upstream>(
            [](test::tcp::socket& socket)
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
        upstream_request request;
        request.body = body;
        request.head.method = method;
        request.head.path = "/";
        request.head.fields = {{"host", "a"}, {"id", id}};
        request.needs_fresh_connection = true;
        request.echoed_field = "id";
        request.time_left = time_limit;
        return asio::co_spawn(
                   context_,
                   exchange(*pool_, upstream_->address(), request),
                   asio::use_future)
            .get();
    }

    [[nodiscard]] int connections() const
    {
        return connections_;
    }

private:
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

std::string own_answer(const text_request& request)
{
    return make_answer(std::string(request["id"]), "own");
}

TEST_F(upstream_client, reuses_a_connection_for_another_id)
{
    start(own_answer);
    EXPECT_EQ(call("a").body, "own");
    EXPECT_EQ(call("b").body, "own");
    EXPECT_EQ(connections(), 1);
}

// Guards against losing what the socket doesn't take at once.
TEST_F(upstream_client, sends_a_body_beyond_the_send_buffer_whole)
{
    start_late_reader();
    std::string body(32 * 1024 * 1024, 'x');
    body.front() = 'a';
    body.back() = 'z';
    const auto end = call("a", "POST", body);
    EXPECT_FALSE(end.failure);
    EXPECT_TRUE(end.body == body);
}

// Guards against a late answer to the first send that is taken for the answer
// to the second one.
TEST_F(upstream_client, sends_an_id_once_on_a_connection)
{
    start(own_answer);
    EXPECT_EQ(call("a").body, "own");
    EXPECT_EQ(call("a").body, "own");
    EXPECT_EQ(connections(), 2);
    EXPECT_EQ(call("b").body, "own");
    EXPECT_EQ(connections(), 2);
    EXPECT_EQ(call("a").body, "own");
    EXPECT_EQ(connections(), 3);
}

// Guards against an interim answer that is taken for a malformed final one.
TEST_F(upstream_client, skips_interim_answers)
{
    start(
        [](const text_request& request)
        {
            return "HTTP/1.1 100 Continue\r\n\r\n"
                   "HTTP/1.1 103 Early Hints\r\nnot-run: 1\r\n\r\n" +
                   own_answer(request);
        });
    EXPECT_EQ(call("a").body, "own");
    EXPECT_EQ(call("b").body, "own");
    EXPECT_EQ(connections(), 1);
}

TEST_F(upstream_client, takes_a_switch_of_protocols_for_malformed)
{
    start(
        [](const text_request&)
        {
            return "HTTP/1.1 101 Switching Protocols\r\nid: a\r\n\r\n";
        });
    EXPECT_EQ(call("a").failure, upstream_failure::malformed);
}

// Guards against the body of a late answer that is taken for an answer: the
// answer to HEAD has none.
TEST_F(upstream_client, takes_no_body_for_the_answer_to_head)
{
    std::string before;
    start(
        [&before](const text_request& request)
        {
            const auto id = std::string(request["id"]);
            if (request.method() == http::verb::head)
            {
                return before + make_answer(id, "");
            }
            before = make_answer(id, make_answer("b", "not an answer"));
            return before;
        });
    EXPECT_EQ(call("a").status, 200U);
    EXPECT_EQ(call("b", "HEAD").failure, upstream_failure::malformed);
}

// Guards against a late answer to HEAD, whose length counts bytes that don't
// follow: these would be taken from the awaited answer.
TEST_F(upstream_client, does_not_reuse_a_connection_after_head)
{
    start(
        [](const text_request& request)
        {
            const auto id = std::string(request["id"]);
            const auto whole = make_answer(id, "own");
            const bool is_head = request.method() == http::verb::head;
            return is_head ? whole.substr(0, whole.size() - 3) : whole;
        });
    EXPECT_EQ(call("a", "HEAD").status, 200U);
    EXPECT_EQ(call("b").body, "own");
    EXPECT_EQ(connections(), 2);
}

// Guards against an abort of the process by an answer whose last bytes come in
// parts.
TEST_F(upstream_client, reads_an_empty_chunked_body_that_comes_in_parts)
{
    start_in_parts(
        {"HTTP/1.1 200 OK\r\nid: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
         "\r",
         "\n"});
    const auto end = call("a");
    EXPECT_EQ(end.status, 200U);
    EXPECT_EQ(end.failure, std::nullopt);
    EXPECT_EQ(end.body, "");
}

// Where bytes that are no answer come without end: what comes before them, and
// what is repeated. "@" stands for the id of the request.
struct endless_case
{
    const char* name;
    std::string before;
    std::string repeated;
};

class endless_bytes : public upstream_client,
                      public ::testing::WithParamInterface<endless_case>
{
};

// Guards against a call that holds its slot and its memory until its time limit
// while an upstream sends bytes that answer nothing.
TEST_P(endless_bytes, end_the_call)
{
    start_endless(GetParam().before, GetParam().repeated);
    const auto before = host_clock().now();
    EXPECT_EQ(call("a").failure, upstream_failure::malformed);
    EXPECT_LT(host_clock().now() - before, time_limit / 2);
}

const std::string other_head = "HTTP/1.1 200 OK\r\nid: other\r\n";
const std::string own_head = "HTTP/1.1 200 OK\r\nid: @\r\n";
const std::string chunked = "transfer-encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    positions,
    endless_bytes,
    ::testing::Values(
        endless_case{"status_line", "HTTP/1.1 200 ", "a"},
        endless_case{"header_line", own_head + "x: ", "a"},
        endless_case{"headers", own_head, "x: a\r\n"},
        endless_case{"interim_answers", "", "HTTP/1.1 103 Hints\r\n\r\n"},
        endless_case{
            "other_body_with_length",
            other_head + "content-length: 99999999999\r\n\r\n",
            "a"},
        endless_case{"other_body_chunked", other_head + chunked, "1\r\na\r\n"},
        endless_case{"other_body_until_close", other_head + "\r\n", "a"},
        endless_case{"chunk_line", own_head + chunked + "1;", "a"},
        endless_case{"trailers", own_head + chunked + "0\r\n", "x: a\r\n"}),
    [](const auto& info)
    {
        return std::string(info.param.name);
    });

// Bytes that come after an answer, on a connection that is idle.
TEST_F(upstream_client, does_not_reuse_a_connection_with_unexpected_bytes)
{
    start_endless(make_answer("@", "own"), "a");
    EXPECT_EQ(call("a").body, "own");
    EXPECT_EQ(call("b").body, "own");
    EXPECT_EQ(connections(), 2);
}

} // namespace
} // namespace nutmegusher::node
