// Answers that are broken, and sound ones of unusual form, as the client of the
// upstream reads them.
#include "nutmegusher/node/upstream_client_fixture.hpp"

namespace nutmegusher::node
{
namespace
{

using namespace test;

class invalid_status : public upstream_client,
                       public ::testing::WithParamInterface<const char*>
{
};

// Guards against an answer that the caller's own parser refuses.
TEST_P(invalid_status, is_malformed)
{
    start(
        [](const text_request& request)
        {
            return "HTTP/1.1 " + std::string(GetParam()) +
                   " OK\r\nid: " + std::string(request["id"]) +
                   "\r\ncontent-length: 4\r\n\r\nbody";
        });
    EXPECT_EQ(call("a").failure, upstream_failure::malformed);
    EXPECT_EQ(call("b").failure, upstream_failure::malformed);
    EXPECT_EQ(connections(), 2);
}

INSTANTIATE_TEST_SUITE_P(
    codes, invalid_status, ::testing::Values("000", "099", "600", "999"));

// RFC 9110, section 15: an unknown status counts as the first of its class.
TEST_F(upstream_client, passes_a_status_without_a_registered_meaning)
{
    start(
        [](const text_request& request)
        {
            return "HTTP/1.1 299 \r\nid: " + std::string(request["id"]) +
                   "\r\ncontent-length: 3\r\n\r\nown";
        });
    const auto end = call("a");
    EXPECT_EQ(end.status, 299U);
    EXPECT_EQ(end.body, "own");
}

// An answer that comes before its request has been sent whole.
struct early_answer_case
{
    const char* name;
    // After the status line and the id.
    std::string rest;
    connection_end end;
    std::optional<upstream_failure> failure;
    std::size_t request_bytes;
};

class early_answer : public upstream_client,
                     public ::testing::WithParamInterface<early_answer_case>
{
};

// Guards against the part of an answer that came before a reset and is taken
// for the whole answer: a failed write of the request may be all that shows the
// reset.
TEST_P(early_answer, is_whole_unless_the_connection_is_reset)
{
    start_early_answer(
        "HTTP/1.1 200 OK\r\nid: a\r\n" + GetParam().rest, GetParam().end);
    const auto end =
        call("a", "PUT", std::string(GetParam().request_bytes, 'x'));
    EXPECT_EQ(end.status, 200U);
    EXPECT_EQ(end.failure, GetParam().failure);
    EXPECT_FALSE(end.body.empty());
}

// More than the buffers of a connection hold.
constexpr std::size_t long_request_bytes = 24'000'000;
// Taken at once by the socket, and read by no upstream.
constexpr std::size_t buffered_request_bytes = 100'000;

INSTANTIATE_TEST_SUITE_P(
    ends,
    early_answer,
    ::testing::Values(
        early_answer_case{
            "reset",
            "\r\npart",
            connection_end::reset,
            upstream_failure::broken,
            long_request_bytes},
        early_answer_case{
            "reset_with_connection_close",
            "connection: close\r\n\r\npart",
            connection_end::reset,
            upstream_failure::broken,
            long_request_bytes},
        early_answer_case{
            "reset_after_a_long_part",
            "\r\n" + std::string(600'000, 'a'),
            connection_end::reset,
            upstream_failure::broken,
            long_request_bytes},
        early_answer_case{
            "reset_after_half_close",
            "\r\npart",
            connection_end::half_close_and_reset,
            upstream_failure::broken,
            long_request_bytes},
        early_answer_case{
            "reset_within_a_length",
            "content-length: 100\r\n\r\npart",
            connection_end::reset,
            upstream_failure::broken,
            long_request_bytes},
        early_answer_case{
            "reset_within_chunks",
            "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
            connection_end::reset,
            upstream_failure::broken,
            long_request_bytes},
        early_answer_case{
            "reset_with_a_buffered_request",
            "\r\npart",
            connection_end::reset,
            upstream_failure::broken,
            buffered_request_bytes},
        early_answer_case{
            "reset_after_a_length",
            "content-length: 5\r\n\r\nwhole",
            connection_end::reset,
            std::nullopt,
            long_request_bytes},
        early_answer_case{
            "reset_after_the_last_chunk",
            "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            connection_end::reset,
            std::nullopt,
            long_request_bytes},
        early_answer_case{
            "half_close_and_read",
            "\r\nwhole",
            connection_end::half_close_and_read,
            std::nullopt,
            long_request_bytes},
        early_answer_case{
            "half_close_and_wait",
            "\r\nwhole",
            connection_end::half_close_and_wait,
            std::nullopt,
            long_request_bytes}),
    [](const auto& info)
    {
        return std::string(info.param.name);
    });

} // namespace
} // namespace nutmegusher::node
