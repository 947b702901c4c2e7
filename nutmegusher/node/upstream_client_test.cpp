#include "nutmegusher/node/upstream_client_fixture.hpp"

namespace nutmegusher::node
{
namespace
{

namespace http = boost::beast::http;
using namespace test;

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
