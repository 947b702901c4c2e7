// Responses of a stand-in upstream: the bodies of calls and its own endpoints.
#include "testing/patterned_body.hpp"
#include "testing/stand_in_server.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace nutmegusher::test_support
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using boost::system::error_code;

namespace
{

constexpr std::uint64_t chunk_size = 64 * 1024;

std::uint64_t
requested_bytes(const http::fields& fields, std::uint64_t fallback)
{
    const auto found = fields.find("x-answer-bytes");
    return found == fields.end() ? fallback
                                 : std::stoull(std::string(found->value()));
}

} // namespace

asio::awaitable<void> stand_in_upstream::server::send_body(session_pointer from)
{
    const std::string token(from->request["x-token"]);
    const auto size = requested_bytes(from->request, behavior_.answer_bytes);
    const bool fails = uniform_unit(random_) < behavior_.error_share;
    const bool cut = uniform_unit(random_) < behavior_.cut_share;
    http::response<http::buffer_body> answer(
        fails ? http::status::internal_server_error : http::status::ok, 11);
    answer.set("x-token", token);
    answer.set("x-digest", std::to_string(pattern_digest(token, size)));
    answer.set(http::field::content_type, "application/octet-stream");
    answer.content_length(size);
    answer.keep_alive(from->open);
    http::response_serializer<http::buffer_body> serializer(answer);
    error_code error;
    auto completion = asio::redirect_error(asio::use_awaitable, error);
    answer.body().data = nullptr;
    answer.body().more = true;
    co_await http::async_write_header(from->stream, serializer, completion);
    std::vector<char> chunk(std::min(chunk_size, size));
    const std::uint64_t sent_size = cut ? size / 2 : size;
    for (std::uint64_t sent = 0; sent < sent_size && !error;)
    {
        const auto length = std::min(chunk_size, sent_size - sent);
        fill_pattern(token, sent, {chunk.data(), length});
        sent += length;
        answer.body().data = chunk.data();
        answer.body().size = length;
        answer.body().more = sent < size;
        co_await http::async_write(from->stream, serializer, completion);
        if (error == http::error::need_buffer)
        {
            error = {};
        }
    }
    if (cut || error)
    {
        from->open = false;
        from->stream.socket().close(error);
    }
}

stand_in_upstream::server::response_message
stand_in_upstream::server::answer_control_request(
    const request_message& request)
{
    response_message answer(http::status::ok, 11);
    answer.set(http::field::content_type, "application/json");
    if (request.target() == "/stand-in/control")
    {
        if (!apply(request.body()))
        {
            answer.result(http::status::bad_request);
        }
    }
    else if (request.target() == "/stand-in/executions")
    {
        answer.body() = log_->to_json();
    }
    else if (request.target() == "/stand-in/status")
    {
        answer.body() = status_json();
    }
    else if (request.target() == "/nutmegusher/load")
    {
        answer.body() = load_json();
    }
    else
    {
        answer.result(http::status::not_found);
    }
    return answer;
}

std::string stand_in_upstream::server::load_json()
{
    const auto now = host_clock().now();
    const std::chrono::milliseconds lag(behavior_.load_lag_ms);
    if (now - load_sampled_at_ >= lag)
    {
        load_sampled_at_ = now;
        load_sample_ = slots_.busy();
    }
    const auto busy = behavior_.load_claims_busy >= 0
                          ? behavior_.load_claims_busy
                          : static_cast<std::int64_t>(load_sample_);
    const json::object object{
        {"slots", behavior_.slots}, {"busy", busy}, {"state", behavior_.state}};
    return json::serialize(object);
}

std::string stand_in_upstream::server::status_json() const
{
    const json::object object{
        {"running", slots_.busy()},
        {"waiting", slots_.waiting()},
        {"cancelled", cancelled_},
        {"shed", shed_},
        {"sub_calls_made", sub_calls_made_},
        {"sub_calls_failed", sub_calls_failed_},
        {"without_deadline", without_deadline_},
        {"state", behavior_.state}};
    return json::serialize(object);
}

} // namespace nutmegusher::test_support
