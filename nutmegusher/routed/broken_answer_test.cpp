// Upstreams whose answers are broken, and what the callers get in their place.
#include "nutmegusher/node/malformed_lines.hpp"
#include "nutmegusher/routed/test_path.hpp"

namespace nutmegusher::routed
{
namespace
{

using namespace test_path;
using node::test::all_malformed_lines;
using node::test::connection_end;
using node::test::malformed_line_case;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_gateway = 502;
// More than the buffers of a connection hold.
constexpr std::size_t long_request_bytes = 24'000'000;
// More than a daemon holds of an answer that it forwards.
constexpr std::size_t long_answer_bytes = 600'000;

// What reached a caller.
struct received_answer
{
    // The answer ended where its framing says.
    bool whole = false;
    unsigned status = 0;
    std::string outcome;
    std::string body;
};

class broken_answers : public routed_path
{
protected:
    // Starts an upstream that answers each request with these bytes. "@" stands
    // for the id of the request.
    void start_answering(const std::string& answer)
    {
        start(make_script(answer));
    }

    // The same with the upstream beside the entry.
    void start_answering_beside_entry(const std::string& answer)
    {
        upstream = std::make_unique<scripted_upstream>(make_script(answer));
        entry = std::make_unique<routed_node>("entry");
        announce(*entry, *upstream);
        entry->start();
        install_routes();
    }

    [[nodiscard]] received_answer exchange(const text_request& request) const
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(entry->caller_server->local_endpoint());
        http::write(socket, request);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        boost::system::error_code failed;
        http::read(socket, buffer, parser, failed);
        const auto& answer = parser.get();
        return {
            !failed,
            answer.result_int(),
            std::string(answer["nutmeg-outcome"]),
            answer.body()};
    }

    // Sends a request that may not be repeated.
    [[nodiscard]] received_answer pay(const std::string& id) const
    {
        return exchange(make_request("/pay/1", id, "amount 7"));
    }

    [[nodiscard]] int runs() const
    {
        return runs_;
    }

    [[nodiscard]] int connections() const
    {
        return connections_;
    }

private:
    scripted_upstream::script make_script(const std::string& answer)
    {
        return [this, answer](tcp::socket& socket)
        {
            ++connections_;
            beast::flat_buffer buffer;
            boost::system::error_code failed;
            while (const auto request = read_request(socket, buffer))
            {
                ++runs_;
                auto bytes = answer;
                bytes.replace(bytes.find('@'), 1, id_of(*request));
                asio::write(socket, asio::buffer(bytes), failed);
            }
        };
    }

    std::atomic<int> runs_ = 0;
    std::atomic<int> connections_ = 0;
};

void expect_broken(const received_answer& answer)
{
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.status, status_bad_gateway);
    EXPECT_EQ(answer.outcome, "unknown");
    EXPECT_EQ(answer.body, "");
}

class invalid_status : public broken_answers,
                       public ::testing::WithParamInterface<const char*>
{
};

// Guards against an answer that the caller's own parser refuses.
TEST_P(invalid_status, reaches_no_caller)
{
    start_answering(
        "HTTP/1.1 " + std::string(GetParam()) +
        " OK\r\nnutmeg-request-id: @\r\nnutmeg-not-run: 1\r\n"
        "content-length: 4\r\n\r\nbody");
    constexpr int requests = 20;
    for (int n = 0; n < requests; ++n)
    {
        expect_broken(pay("id-" + std::to_string(n)));
    }
    EXPECT_EQ(runs(), requests);
    EXPECT_EQ(connections(), requests);
    const data_center_name caller("dc");
    EXPECT_GT(upstream_node->state.errors.share(caller), 0.9);
}

INSTANTIATE_TEST_SUITE_P(
    codes, invalid_status, ::testing::Values("000", "099", "600", "999"));

// An answer without a length that comes while the request is still sent.
struct early_answer_case
{
    const char* name;
    unsigned status;
    std::string rest;
    connection_end end;
    bool is_whole;
};

class early_answers : public broken_answers,
                      public ::testing::WithParamInterface<early_answer_case>
{
protected:
    void start_early_answer()
    {
        start(node::test::make_early_answer(
            "HTTP/1.1 " + std::to_string(GetParam().status) +
                " Early\r\nnutmeg-request-id: id-1\r\n" + GetParam().rest,
            GetParam().end));
    }

    [[nodiscard]] received_answer upload() const
    {
        auto request = make_request(
            "/pay/1", "id-1", std::string(long_request_bytes, 'x'));
        request.method(http::verb::put);
        request.set("nutmeg-timeout-ms", "3000");
        return exchange(request);
    }
};

// Guards against the part of an answer that came before a reset and reaches the
// caller as a whole answer.
TEST_P(early_answers, are_whole_unless_the_connection_is_reset)
{
    start_early_answer();
    const auto answer = upload();
    if (GetParam().is_whole)
    {
        EXPECT_TRUE(answer.whole);
        EXPECT_EQ(answer.status, GetParam().status);
        EXPECT_EQ(answer.body, "whole");
    }
    else if (answer.status == status_ok)
    {
        // The part is longer than what a daemon holds, so its head was sent.
        EXPECT_GE(GetParam().rest.size(), long_answer_bytes);
        EXPECT_FALSE(answer.whole);
    }
    else
    {
        expect_broken(answer);
    }
}

INSTANTIATE_TEST_SUITE_P(
    ends,
    early_answers,
    ::testing::Values(
        early_answer_case{
            "reset", 200, "\r\npart", connection_end::reset, false},
        early_answer_case{
            "reset_of_an_error", 400, "\r\npart", connection_end::reset, false},
        early_answer_case{
            "reset_with_connection_close",
            200,
            "connection: close\r\n\r\npart",
            connection_end::reset,
            false},
        early_answer_case{
            "reset_after_a_long_part",
            200,
            "\r\n" + std::string(long_answer_bytes, 'a'),
            connection_end::reset,
            false},
        early_answer_case{
            "reset_within_a_length",
            200,
            "content-length: 100\r\n\r\npart",
            connection_end::reset,
            false},
        early_answer_case{
            "reset_within_chunks",
            200,
            "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
            connection_end::reset,
            false},
        early_answer_case{
            "error_with_a_length",
            413,
            "content-length: 5\r\n\r\nwhole",
            connection_end::reset,
            true},
        early_answer_case{
            "error_with_half_close",
            413,
            "\r\nwhole",
            connection_end::half_close_and_read,
            true},
        early_answer_case{
            "success_with_half_close",
            200,
            "\r\nwhole",
            connection_end::half_close_and_wait,
            true}),
    [](const auto& info)
    {
        return std::string(info.param.name);
    });

class malformed_lines
    : public broken_answers,
      public ::testing::WithParamInterface<malformed_line_case>
{
};

// Guards against a line that is passed on, or that hides the length of the
// body.
TEST_P(malformed_lines, reach_no_caller)
{
    start_answering(
        "HTTP/1.1 200 OK\r\n" + GetParam().line +
        "\r\nnutmeg-request-id: @\r\ncontent-length: 4\r\n\r\nbody");
    expect_broken(pay("id-1"));
    expect_broken(pay("id-2"));
    EXPECT_EQ(runs(), 2);
    EXPECT_EQ(connections(), 2);
}

INSTANTIATE_TEST_SUITE_P(
    lines,
    malformed_lines,
    ::testing::ValuesIn(all_malformed_lines()),
    [](const auto& info)
    {
        return std::string(info.param.name);
    });

// Answers of unusual form that are sound.
struct sound_answer_case
{
    const char* name;
    // After "HTTP/1.1 ".
    std::string bytes;
};

class sound_answers : public broken_answers,
                      public ::testing::WithParamInterface<sound_answer_case>
{
};

TEST_P(sound_answers, arrive_whole)
{
    start(
        [](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            boost::system::error_code failed;
            if (read_request(socket, buffer))
            {
                asio::write(
                    socket,
                    asio::buffer("HTTP/1.1 " + GetParam().bytes),
                    failed);
            }
        });
    const auto answer = pay("id-1");
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.status / 100, 2U);
    EXPECT_EQ(answer.body, "whole");
}

INSTANTIATE_TEST_SUITE_P(
    forms,
    sound_answers,
    ::testing::Values(
        sound_answer_case{
            "without_a_length",
            "200 OK\r\nnutmeg-request-id: id-1\r\n\r\nwhole"},
        sound_answer_case{
            "without_a_reason",
            "200 \r\nnutmeg-request-id: id-1\r\ncontent-length: "
            "5\r\n\r\nwhole"},
        sound_answer_case{
            "unregistered_status",
            "299 OK\r\nnutmeg-request-id: id-1\r\ncontent-length: "
            "5\r\n\r\nwhole"},
        sound_answer_case{
            "chunk_extensions_and_trailers",
            "200 OK\r\nnutmeg-request-id: id-1\r\ntransfer-encoding: "
            "Chunked\r\n\r\n2;a=b\r\nwh\r\n3\r\nole\r\n0\r\nx: y\r\n\r\n"},
        sound_answer_case{
            "bytes_above_127",
            "200 OK\r\nnutmeg-request-id: id-1\r\nx: \xc3\xa9\xff\r\n"
            "content-length: 5\r\n\r\nwhole"}),
    [](const auto& info)
    {
        return std::string(info.param.name);
    });

// Fields that daemons add to what they send each other.
class own_fields : public broken_answers,
                   public ::testing::WithParamInterface<const char*>
{
protected:
    static std::string make_answer()
    {
        return "HTTP/1.1 404 Missing\r\nnutmeg-request-id: @\r\n" +
               std::string(GetParam()) + "\r\ncontent-length: 5\r\n\r\nwhole";
    }

    static void expect_unchanged(const received_answer& answer)
    {
        EXPECT_TRUE(answer.whole);
        EXPECT_EQ(answer.status, 404U);
        EXPECT_EQ(answer.outcome, "");
        EXPECT_EQ(answer.body, "whole");
    }
};

// Guards against an upstream's field that is taken for a daemon's: an error
// that reaches the caller as a success, or a call that ran and is refused as
// not run.
TEST_P(own_fields, of_an_upstream_mean_nothing)
{
    start_answering(make_answer());
    expect_unchanged(pay("id-1"));
}

TEST_P(own_fields, of_an_upstream_beside_the_entry_mean_nothing)
{
    start_answering_beside_entry(make_answer());
    expect_unchanged(pay("id-1"));
}

INSTANTIATE_TEST_SUITE_P(
    fields,
    own_fields,
    ::testing::Values(
        "nutmeg-status: 200",
        "nutmeg-status: 000",
        "nutmeg-outcome: not-run\r\nnutmeg-reason: leaving"));

TEST_F(broken_answers, with_an_unknown_coding_reach_no_caller)
{
    start_answering(
        "HTTP/1.1 200 OK\r\nnutmeg-request-id: @\r\n"
        "transfer-encoding: gzip, chunked\r\n\r\n4\r\ncode\r\n0\r\n\r\n");
    expect_broken(pay("id-1"));
    EXPECT_EQ(runs(), 1);
}

} // namespace
} // namespace nutmegusher::routed
