#include "testing/http_client.hpp"

#include "testing/async_http_client.hpp"
#include "testing/patterned_body.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace nutmegusher::test_support
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

constexpr std::size_t read_chunk = 64 * 1024;

http::request<http::string_body>
to_message(const http_request& request, const tcp_endpoint& to)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, to.address().to_string());
    for (const auto& header : request.headers)
    {
        message.set(header.name, header.value);
    }
    message.body() = request.body;
    if (!request.body.empty() || request.method != "GET")
    {
        message.prepare_payload();
    }
    return message;
}

http_failure to_failure(const error_code& error, http_failure fallback)
{
    return error == beast::error::timeout ? http_failure::timed_out : fallback;
}

template <class Fields>
void copy_headers(const Fields& fields, http_answer& answer)
{
    for (const auto& field : fields)
    {
        answer.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
}

} // namespace

std::string_view to_text(http_failure failure)
{
    switch (failure)
    {
    case http_failure::connect_failed:
        return "connect_failed";
    case http_failure::timed_out:
        return "timed_out";
    case http_failure::connection_lost:
        return "connection_lost";
    case http_failure::body_cut:
        break;
    }
    return "body_cut";
}

std::string_view http_answer::header(std::string_view name) const
{
    const auto found = std::find_if(
        headers.begin(),
        headers.end(),
        [name](const http_header& header)
        {
            return beast::iequals(header.name, name);
        });
    return found == headers.end() ? std::string_view()
                                  : std::string_view(found->value);
}

struct async_http_client::connection
{
    explicit connection(asio::io_context& context)
        : stream(context)
    {
    }

    // Reads one answer; sets `reusable` if the connection can be used again.
    asio::awaitable<http_result> read_answer(bool& reusable);

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

asio::awaitable<http_result>
async_http_client::connection::read_answer(bool& reusable)
{
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    co_await http::async_read_header(stream, buffer, parser, token);
    if (error)
    {
        co_return to_failure(error, http_failure::connection_lost);
    }
    http_answer answer;
    answer.status = parser.get().result_int();
    copy_headers(parser.get(), answer);
    body_digest digest;
    std::vector<char> chunk(read_chunk);
    while (!parser.is_done())
    {
        auto& body = parser.get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        co_await http::async_read(stream, buffer, parser, token);
        if (error && error != http::error::need_buffer)
        {
            co_return to_failure(error, http_failure::body_cut);
        }
        const std::size_t size = chunk.size() - body.size;
        const std::size_t remaining =
            max_stored_body_bytes - answer.body.size();
        answer.body.append(chunk.data(), std::min(size, remaining));
        answer.body_size += size;
        digest.append({chunk.data(), size});
    }
    answer.body_digest = digest.value();
    reusable = parser.keep_alive();
    co_return answer;
}

async_http_client::async_http_client(asio::io_context& context)
    : context_(context)
{
}

async_http_client::~async_http_client() = default;

std::unique_ptr<async_http_client::connection>
async_http_client::take_idle(const tcp_endpoint& to)
{
    auto& idle = idle_[to];
    if (idle.empty())
    {
        return nullptr;
    }
    auto taken = std::move(idle.back());
    idle.pop_back();
    return taken;
}

asio::awaitable<http_result> async_http_client::call(
    tcp_endpoint to,
    const http_request& request,
    std::chrono::milliseconds timeout)
{
    error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    auto used = take_idle(to);
    if (!used)
    {
        used = std::make_unique<connection>(context_);
        used->stream.expires_after(timeout);
        co_await used->stream.async_connect(to, token);
        if (error)
        {
            co_return http_failure::connect_failed;
        }
        used->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    }
    used->stream.expires_after(timeout);
    const auto message = to_message(request, to);
    co_await http::async_write(used->stream, message, token);
    const bool write_failed = static_cast<bool>(error);
    if (error == beast::error::timeout)
    {
        co_return http_failure::timed_out;
    }
    // The peer may refuse before it has read the whole request, so the answer
    // is read even after a failed write.
    bool reusable = false;
    auto result = co_await used->read_answer(reusable);
    if (result.has_value() && reusable && !write_failed)
    {
        used->stream.expires_never();
        idle_[to].push_back(std::move(used));
    }
    co_return result;
}

http_result send_request(
    std::string_view address,
    const http_request& request,
    std::chrono::milliseconds timeout)
{
    asio::io_context context(1);
    async_http_client client(context);
    std::optional<http_result> result;
    auto run = [&]() -> asio::awaitable<void>
    {
        result =
            co_await client.call(parse_endpoint(address), request, timeout);
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return result.value_or(http_failure::connection_lost);
}

} // namespace nutmegusher::test_support
