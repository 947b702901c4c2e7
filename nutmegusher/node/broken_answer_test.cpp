// Answers that are broken, and sound ones of unusual form, as the client of the
// upstream reads them.
#include "nutmegusher/node/malformed_lines.hpp"
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

class malformed_line : public upstream_client,
                       public ::testing::WithParamInterface<malformed_line_case>
{
};

// Guards against a line that is passed on, or that hides the length of the
// body: RFC 9112, section 5.1.
TEST_P(malformed_line, makes_the_answer_malformed)
{
    start(
        [](const text_request& request)
        {
            return "HTTP/1.1 200 OK\r\n" + GetParam().line +
                   "\r\nid: " + std::string(request["id"]) +
                   "\r\ncontent-length: 4\r\n\r\nbody";
        });
    EXPECT_EQ(call("a").failure, upstream_failure::malformed);
    EXPECT_EQ(call("b").failure, upstream_failure::malformed);
    EXPECT_EQ(connections(), 2);
}

INSTANTIATE_TEST_SUITE_P(
    lines,
    malformed_line,
    ::testing::ValuesIn(all_malformed_lines()),
    [](const auto& info)
    {
        return std::string(info.param.name);
    });

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

// A body that is streamed is written before the answer is read, so it is the
// write that fails.
TEST_F(upstream_client, a_reset_ends_a_streamed_request)
{
    start_early_answer(
        "HTTP/1.1 200 OK\r\nid: a\r\n\r\npart", connection_end::reset);
    const std::string body(long_request_bytes, 'x');
    EXPECT_EQ(call_streamed("a", body).failure, upstream_failure::broken);
}

struct coding_case
{
    const char* name;
    const char* version;
    const char* fields;
};

class coded_answer : public upstream_client,
                     public ::testing::WithParamInterface<coding_case>
{
};

// Guards against a body that is passed on in a coding whose name isn't.
TEST_P(coded_answer, is_malformed)
{
    start_in_parts(
        {std::string(GetParam().version) + " 200 OK\r\nid: a\r\n" +
         GetParam().fields + "\r\n\r\n4\r\ncode\r\n0\r\n\r\n"});
    EXPECT_EQ(call("a").failure, upstream_failure::malformed);
}

INSTANTIATE_TEST_SUITE_P(
    codings,
    coded_answer,
    ::testing::Values(
        coding_case{"gzip", "HTTP/1.1", "transfer-encoding: gzip"},
        coding_case{
            "gzip_in_chunks", "HTTP/1.1", "transfer-encoding: gzip, chunked"},
        coding_case{
            "chunks_in_gzip", "HTTP/1.1", "transfer-encoding: chunked, gzip"},
        coding_case{
            "on_two_lines",
            "HTTP/1.1",
            "transfer-encoding: gzip\r\ntransfer-encoding: chunked"},
        coding_case{
            "chunks_twice", "HTTP/1.1", "transfer-encoding: chunked, chunked"},
        coding_case{"none_named", "HTTP/1.1", "transfer-encoding:"},
        coding_case{
            "with_a_length",
            "HTTP/1.1",
            "transfer-encoding: gzip\r\ncontent-length: 4"},
        coding_case{
            "chunked_with_a_length",
            "HTTP/1.1",
            "transfer-encoding: chunked\r\ncontent-length: 4"},
        // RFC 9112, section 6.1: its framing is faulty.
        coding_case{
            "chunked_in_http_1_0", "HTTP/1.0", "transfer-encoding: chunked"}),
    [](const auto& info)
    {
        return std::string(info.param.name);
    });

// What follows the id in an answer whose length is unclear.
struct unclear_length_case
{
    const char* name;
    const char* rest;
};

class unclear_length : public upstream_client,
                       public ::testing::WithParamInterface<unclear_length_case>
{
};

TEST_P(unclear_length, is_malformed)
{
    start_in_parts(
        {std::string("HTTP/1.1 200 OK\r\nid: a\r\n") + GetParam().rest});
    EXPECT_EQ(call("a").failure, upstream_failure::malformed);
}

INSTANTIATE_TEST_SUITE_P(
    framings,
    unclear_length,
    ::testing::Values(
        unclear_length_case{"two", "content-length: 4, 5\r\n\r\nparts"},
        unclear_length_case{
            "on_two_lines",
            "content-length: 4\r\ncontent-length: 5\r\n\r\nparts"},
        unclear_length_case{"with_a_sign", "content-length: +4\r\n\r\npart"},
        unclear_length_case{"no_number", "content-length: a\r\n\r\npart"},
        unclear_length_case{
            "chunk_without_an_end",
            "transfer-encoding: chunked\r\n\r\n4\r\npartpart0\r\n\r\n"},
        unclear_length_case{
            "chunk_with_a_sign",
            "transfer-encoding: chunked\r\n\r\n-4\r\npart\r\n0\r\n\r\n"},
        unclear_length_case{
            "chunk_beyond_64_bits",
            "transfer-encoding: chunked\r\n\r\n10000000000000004\r\npart\r\n"},
        unclear_length_case{
            "malformed_trailer",
            "transfer-encoding: chunked\r\n\r\n0\r\nx y\r\n\r\n"}),
    [](const auto& info)
    {
        return std::string(info.param.name);
    });

// Guards against the body of an answer that has none, on a connection that
// carries the next request by then.
TEST_F(upstream_client, does_not_reuse_a_connection_after_204_with_a_length)
{
    start(
        [this](const text_request& request)
        {
            if (request["id"] == "a")
            {
                return std::string(
                    "HTTP/1.1 204 Empty\r\nid: a\r\ncontent-length: 4\r\n\r\n");
            }
            return (connections() == 1 ? "late" : "") + own_answer(request);
        });
    EXPECT_EQ(call("a").status, 204U);
    const auto end = call("b");
    EXPECT_EQ(end.failure, std::nullopt);
    EXPECT_EQ(end.body, "own");
    EXPECT_EQ(connections(), 2);
}

} // namespace
} // namespace nutmegusher::node
