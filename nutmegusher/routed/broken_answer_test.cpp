// Upstreams whose answers are broken, and what the callers get in their place.
#include "nutmegusher/routed/test_path.hpp"

namespace nutmegusher::routed
{
namespace
{

using namespace test_path;
using node::test::connection_end;

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
        start(
            [this, answer](tcp::socket& socket)
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
            });
    }

    [[nodiscard]] received_answer exchange(const text_request& request) const
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(entry->caller_server->local_endpoint());
        http::write(socket, request);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.skip(request.method() == http::verb::head);
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

} // namespace
} // namespace nutmegusher::routed
