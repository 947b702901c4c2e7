#include "nutmegusher/ctl/http_exchange.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace nutmegusher::ctl
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

using endpoint = asio::ip::tcp::endpoint;

// Enough for the dump of a large process. A longer reply fails.
constexpr std::uint64_t max_reply_bytes = 256ULL * 1024 * 1024;

leaf::result<endpoint> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return leaf::new_error(bad_address{text});
    }
    boost::system::error_code parse_error;
    const auto address =
        asio::ip::make_address(text.substr(0, colon), parse_error);
    std::uint16_t port = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parse_error || parsed.ec != std::errc() || parsed.ptr != end ||
        port == 0)
    {
        return leaf::new_error(bad_address{text});
    }
    return endpoint(address, port);
}

// Sends one query on its own connection and reads the reply. Runs its own I/O
// context, since Beast applies timeouts to asynchronous operations only.
class exchange_operation
{
public:
    exchange_operation(
        endpoint target, duration timeout, const http_query& query)
        : endpoint_(std::move(target))
        , stream_(context_)
    {
        const auto verb = http::string_to_verb(query.method);
        request_ = {verb, query.target, http_version};
        request_.set(http::field::host, endpoint_.address().to_string());
        request_.set(http::field::connection, "close");
        if (!query.body.empty())
        {
            request_.set(http::field::content_type, "application/json");
        }
        request_.body() = query.body;
        request_.prepare_payload();
        parser_.body_limit(max_reply_bytes);
        stream_.expires_after(timeout);
    }

    exchange_result run()
    {
        stream_.async_connect(
            endpoint_,
            [this](beast::error_code error)
            {
                on_connected(error);
            });
        context_.run();
        if (failure_ != std::nullopt)
        {
            return *failure_;
        }
        auto& message = parser_.get();
        if (!is_final_status(message.result_int()))
        {
            return exchange_failure::bad_reply;
        }
        return http_reply{message.result_int(), std::move(message.body())};
    }

private:
    static constexpr unsigned http_version = 11;

    void on_connected(beast::error_code error)
    {
        if (error)
        {
            failure_ = exchange_failure::unreachable;
            return;
        }
        http::async_write(
            stream_,
            request_,
            [this](beast::error_code io_error, std::size_t)
            {
                on_sent(io_error);
            });
    }

    void on_sent(beast::error_code error)
    {
        if (error)
        {
            failure_ = classify(error);
            return;
        }
        http::async_read(
            stream_,
            buffer_,
            parser_,
            [this](beast::error_code io_error, std::size_t)
            {
                if (io_error)
                {
                    failure_ = classify(io_error);
                }
            });
    }

    static exchange_failure classify(beast::error_code error)
    {
        if (error == beast::error::timeout)
        {
            return exchange_failure::timed_out;
        }
        const bool malformed =
            error.category() ==
                http::make_error_code(http::error::bad_version).category() &&
            error != http::error::end_of_stream &&
            error != http::error::partial_message;
        return malformed ? exchange_failure::bad_reply
                         : exchange_failure::connection_lost;
    }

    asio::io_context context_;
    endpoint endpoint_;
    beast::tcp_stream stream_;
    http::request<http::string_body> request_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
    std::optional<exchange_failure> failure_;
};

} // namespace

std::string_view to_string(exchange_failure failure)
{
    switch (failure)
    {
    case exchange_failure::unreachable:
        return "unreachable";
    case exchange_failure::timed_out:
        return "timed out";
    case exchange_failure::connection_lost:
        return "connection lost";
    case exchange_failure::bad_reply:
        break;
    }
    return "not an HTTP reply";
}

leaf::result<http_exchange>
connect_with_beast(const std::string& address, duration timeout)
{
    BOOST_LEAF_AUTO(target, parse_endpoint(address));
    return http_exchange(
        [target, timeout](const http_query& query)
        {
            return exchange_operation(target, timeout, query).run();
        });
}

} // namespace nutmegusher::ctl
