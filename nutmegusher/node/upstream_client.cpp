#include "nutmegusher/node/upstream_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <vector>

namespace nutmegusher::node
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

constexpr unsigned http_11 = 11;

// The upstream stands on the same host: a connection that takes longer isn't
// accepted at all.
constexpr duration connect_limit = std::chrono::milliseconds(500);
// Servers close idle connections after seconds; one used within this time is
// still open unless the server has stopped.
constexpr duration fresh_for = std::chrono::milliseconds(500);
constexpr duration idle_for = std::chrono::seconds(4);
constexpr std::size_t most_idle = 256;
constexpr std::uint32_t answer_header_bytes = 65536;

upstream_failure to_failure(boost::system::error_code code)
{
    if (code == beast::error::timeout)
    {
        return upstream_failure::timed_out;
    }
    if (code == asio::error::operation_aborted ||
        code == asio::error::bad_descriptor)
    {
        return upstream_failure::cancelled;
    }
    const bool is_parse_error =
        code.category() ==
        http::make_error_code(http::error::bad_method).category();
    if (is_parse_error && code != http::error::partial_message &&
        code != http::error::end_of_stream)
    {
        return upstream_failure::malformed;
    }
    return upstream_failure::broken;
}

bool is_hop_header(std::string_view name)
{
    return name == "connection" || name == "transfer-encoding" ||
           name == "content-length" || name == "keep-alive" ||
           name == "expect" || name == "te" || name == "upgrade";
}

// An idle connection has nothing to read; anything else is its end.
bool still_open(tcp::socket& socket)
{
    char probe = 0;
    const auto got =
        ::recv(socket.native_handle(), &probe, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

struct idle_connection
{
    std::unique_ptr<beast::tcp_stream> stream;
    tcp::endpoint address;
    time_point since;
};

} // namespace

namespace internal
{

struct upstream_pool_state
{
    explicit upstream_pool_state(asio::io_context& context)
        : context(context)
    {
    }

    std::unique_ptr<beast::tcp_stream>
    take(const tcp::endpoint& address, duration most_age)
    {
        const auto now = host_clock().now();
        while (!idle.empty())
        {
            auto last = std::move(idle.back());
            idle.pop_back();
            const bool usable = last.address == address &&
                                now - last.since <= most_age &&
                                still_open(last.stream->socket());
            if (usable)
            {
                return std::move(last.stream);
            }
        }
        return nullptr;
    }

    void
    put(std::unique_ptr<beast::tcp_stream> stream, const tcp::endpoint& address)
    {
        if (idle.size() >= most_idle)
        {
            idle.erase(idle.begin());
        }
        idle.push_back({std::move(stream), address, host_clock().now()});
    }

    asio::io_context& context;
    std::vector<idle_connection> idle;
};

struct upstream_call_state
{
    std::shared_ptr<upstream_pool_state> pool;
    std::unique_ptr<beast::tcp_stream> stream;
    tcp::endpoint address;
    beast::flat_buffer buffer;
    http::request<http::buffer_body> request;
    std::optional<http::request_serializer<http::buffer_body>> serializer;
    http::response_parser<http::buffer_body> parser;
    bool request_done = false;
    bool cancelled = false;

    upstream_failure failure_of(boost::system::error_code code) const
    {
        return cancelled ? upstream_failure::cancelled : to_failure(code);
    }
};

} // namespace internal

namespace
{

void fill_request(
    http::request<http::buffer_body>& request, const upstream_request& from)
{
    request.version(http_11);
    request.method_string(from.head.method);
    request.target(from.head.path);
    for (const auto& field : from.head.fields)
    {
        if (!is_hop_header(field.name))
        {
            request.insert(field.name, field.value);
        }
    }
    if (from.streamed)
    {
        request.chunked(true);
    }
    else if (!from.body.empty())
    {
        request.content_length(from.body.size());
    }
    else if (from.head.method != "GET" && from.head.method != "HEAD")
    {
        request.content_length(0);
    }
    request.keep_alive(true);
}

asio::awaitable<boost::system::error_code> write_body(
    internal::upstream_call_state& call,
    std::span<const std::byte> bytes,
    bool end)
{
    auto& body = call.request.body();
    body.data = bytes.empty() ? nullptr : const_cast<std::byte*>(bytes.data());
    body.size = bytes.size();
    body.more = !end;
    auto [failed, size] = co_await http::async_write(
        *call.stream, *call.serializer, as_tuple_awaitable);
    call.request_done = end;
    co_return failed == http::error::need_buffer ? boost::system::error_code()
                                                 : failed;
}

} // namespace

upstream_call::upstream_call(
    std::unique_ptr<internal::upstream_call_state> state)
    : state_(std::move(state))
{
}

upstream_call::~upstream_call() = default;

asio::awaitable<outcome<void, upstream_failure>>
upstream_call::write_some(std::span<const std::byte> bytes, bool end)
{
    const auto failed = co_await write_body(*state_, bytes, end);
    if (failed)
    {
        co_return state_->failure_of(failed);
    }
    co_return outcome<void, upstream_failure>();
}

asio::awaitable<outcome<wire::response_head, upstream_failure>>
upstream_call::read_head()
{
    auto& call = *state_;
    call.parser.header_limit(answer_header_bytes);
    call.parser.body_limit(boost::none);
    if (call.request.method() == http::verb::head)
    {
        call.parser.skip(true);
    }
    auto [failed, size] = co_await http::async_read_header(
        *call.stream, call.buffer, call.parser, as_tuple_awaitable);
    if (failed)
    {
        co_return call.failure_of(failed);
    }
    wire::response_head head;
    head.status = call.parser.get().result_int();
    for (const auto& field : call.parser.get())
    {
        std::string name(field.name_string());
        for (char& c : name)
        {
            c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        }
        if (!is_hop_header(name))
        {
            head.fields.push_back(
                {std::move(name), std::string(field.value())});
        }
    }
    co_return head;
}

std::optional<std::uint64_t> upstream_call::content_length() const
{
    const auto length = state_->parser.content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

asio::awaitable<outcome<std::size_t, upstream_failure>>
upstream_call::read_some(std::span<std::byte> into)
{
    auto& call = *state_;
    auto& body = call.parser.get().body();
    while (!call.parser.is_done())
    {
        body.data = into.data();
        body.size = into.size();
        auto [failed, size] = co_await http::async_read_some(
            *call.stream, call.buffer, call.parser, as_tuple_awaitable);
        if (failed && failed != http::error::need_buffer)
        {
            co_return call.failure_of(failed);
        }
        if (const auto got = into.size() - body.size; got > 0)
        {
            co_return got;
        }
    }
    if (call.stream && call.request_done && call.parser.keep_alive() &&
        call.buffer.size() == 0)
    {
        call.stream->expires_never();
        call.pool->put(std::move(call.stream), call.address);
    }
    co_return std::size_t{0};
}

void upstream_call::cancel()
{
    state_->cancelled = true;
    if (state_->stream)
    {
        state_->stream->close();
    }
}

upstream_pool::upstream_pool(asio::io_context& context)
    : state_(std::make_shared<internal::upstream_pool_state>(context))
{
}

upstream_pool::~upstream_pool() = default;

std::size_t upstream_pool::idle_connections() const
{
    return state_->idle.size();
}

asio::awaitable<outcome<std::unique_ptr<upstream_call>, upstream_failure>>
upstream_pool::send(tcp::endpoint address, const upstream_request& request)
{
    auto call = std::make_unique<internal::upstream_call_state>();
    call->pool = state_;
    call->address = address;
    call->stream = state_->take(
        address, request.needs_fresh_connection ? fresh_for : idle_for);
    if (!call->stream)
    {
        call->stream = std::make_unique<beast::tcp_stream>(state_->context);
        call->stream->expires_after(std::min(connect_limit, request.time_left));
        auto [failed] =
            co_await call->stream->async_connect(address, as_tuple_awaitable);
        if (failed)
        {
            co_return upstream_failure::not_connected;
        }
        boost::system::error_code ignored;
        call->stream->socket().set_option(tcp::no_delay(true), ignored);
    }
    call->stream->expires_after(request.time_left);
    fill_request(call->request, request);
    call->serializer.emplace(call->request);
    const auto body = std::as_bytes(std::span(request.body));
    const auto failed = co_await write_body(*call, body, !request.streamed);
    if (failed)
    {
        co_return call->failure_of(failed);
    }
    co_return std::make_unique<upstream_call>(std::move(call));
}

} // namespace nutmegusher::node
