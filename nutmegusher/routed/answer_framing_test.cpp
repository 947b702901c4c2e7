// How an answer reaches callers for which a length or chunks would say
// something else than the upstream's answer.
#include "nutmegusher/routed/test_path.hpp"

#include <boost/asio/read.hpp>

namespace nutmegusher::routed
{
namespace
{

using namespace test_path;

// More than a daemon holds of an answer that it forwards.
constexpr std::size_t long_answer_bytes = 600'000;

// What a connection carried until it ended.
struct received_bytes
{
    std::string head;
    std::string body;
    boost::system::error_code end;

    [[nodiscard]] bool has(std::string_view line) const
    {
        return head.find("\r\n" + std::string(line)) != std::string::npos;
    }
};

class answer_framing : public routed_path
{
protected:
    // Starts an upstream that answers each request with these bytes after the
    // id, and then closes the connection.
    void start_answering(const std::string& status, const std::string& rest)
    {
        start(
            [status, rest](tcp::socket& socket)
            {
                beast::flat_buffer buffer;
                const auto request = read_request(socket, buffer);
                if (!request)
                {
                    return;
                }
                boost::system::error_code failed;
                asio::write(
                    socket,
                    asio::buffer(
                        "HTTP/1.1 " + status + " Any\r\nnutmeg-request-id: " +
                        id_of(*request) + "\r\n" + rest),
                    failed);
            });
    }

    // The same; the connection closes before the last chunk.
    void start_breaking_off_after_a_chunk()
    {
        start_answering(
            "200",
            "transfer-encoding: chunked\r\n\r\n927c0\r\n" +
                std::string(long_answer_bytes, 'a') + "\r\n");
    }

    [[nodiscard]] received_bytes
    ask_raw(const std::string& method, const std::string& version) const
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(entry->caller_server->local_endpoint());
        asio::write(
            socket,
            asio::buffer(
                method + " /views/1 " + version +
                "\r\nhost: a.example\r\nnutmeg-request-id: id-1\r\n"
                "nutmeg-timeout-ms: 2000\r\nconnection: close\r\n\r\n"));
        std::string text;
        received_bytes received;
        asio::read(socket, asio::dynamic_buffer(text), received.end);
        constexpr std::string_view separator = "\r\n\r\n";
        const auto head_end = text.find(separator);
        received.head = text.substr(0, head_end);
        if (head_end != std::string::npos)
        {
            received.body = text.substr(head_end + separator.size());
        }
        return received;
    }
};

// Guards against chunks that a caller of HTTP/1.0 takes for a part of the body.
TEST_F(answer_framing, a_long_answer_ends_with_a_connection_of_http_1_0)
{
    const std::string body(long_answer_bytes, 'a');
    start_answering("200", "\r\n" + body);
    const auto answer = ask_raw("GET", "HTTP/1.0");
    EXPECT_TRUE(answer.head.starts_with("HTTP/1.1 200")) << answer.head;
    EXPECT_FALSE(answer.has("Transfer-Encoding:")) << answer.head;
    EXPECT_TRUE(answer.has("Connection: close")) << answer.head;
    EXPECT_TRUE(answer.body == body);
    EXPECT_EQ(answer.end, asio::error::eof);
}

// Guards against the part of an answer that a caller of HTTP/1.0 takes for the
// whole one.
TEST_F(answer_framing, a_broken_answer_resets_a_connection_of_http_1_0)
{
    start_breaking_off_after_a_chunk();
    const auto answer = ask_raw("GET", "HTTP/1.0");
    EXPECT_EQ(answer.end, asio::error::connection_reset);
}

TEST_F(answer_framing, a_broken_answer_lacks_its_last_chunk)
{
    start_breaking_off_after_a_chunk();
    const auto answer = ask_raw("GET", "HTTP/1.1");
    EXPECT_TRUE(answer.has("Transfer-Encoding: chunked")) << answer.head;
    EXPECT_FALSE(answer.body.ends_with("0\r\n\r\n"));
}

TEST_F(answer_framing, a_broken_answer_is_shorter_than_its_length)
{
    start_answering(
        "200",
        "content-length: 600001\r\n\r\n" + std::string(long_answer_bytes, 'a'));
    const auto answer = ask_raw("GET", "HTTP/1.0");
    EXPECT_TRUE(answer.has("Content-Length: 600001")) << answer.head;
    EXPECT_LE(answer.body.size(), long_answer_bytes);
}

class answers_without_content
    : public answer_framing,
      public ::testing::WithParamInterface<const char*>
{
};

// Guards against a length of 0 that isn't the upstream's: to a cache it is that
// of the content (RFC 9110, section 8.6).
TEST_P(answers_without_content, state_no_length_of_their_own)
{
    start_answering(GetParam(), "etag: \"a\"\r\n\r\n");
    const auto answer = ask_raw("GET", "HTTP/1.1");
    EXPECT_TRUE(answer.has("etag: \"a\"")) << answer.head;
    EXPECT_FALSE(answer.has("Content-Length:")) << answer.head;
    EXPECT_EQ(answer.body, "");
}

INSTANTIATE_TEST_SUITE_P(
    codes, answers_without_content, ::testing::Values("204", "304"));

TEST_F(answer_framing, an_answer_to_head_states_no_length_of_its_own)
{
    start_answering("200", "content-length: 5\r\n\r\n");
    const auto answer = ask_raw("HEAD", "HTTP/1.1");
    EXPECT_TRUE(answer.head.starts_with("HTTP/1.1 200")) << answer.head;
    EXPECT_FALSE(answer.has("Content-Length:")) << answer.head;
    EXPECT_EQ(answer.body, "");
}

} // namespace
} // namespace nutmegusher::routed
