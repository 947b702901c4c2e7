#include "testing/stand_in_server.hpp"

#include "testing/patterned_body.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <future>

namespace nutmegusher::test_support
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using boost::system::error_code;

namespace
{

constexpr std::uint64_t request_body_limit = 128ULL * 1024 * 1024;
constexpr std::chrono::milliseconds announce_period(500);
constexpr std::chrono::milliseconds announce_timeout(1000);
constexpr std::chrono::milliseconds frozen_poll_interval(20);

std::string field(const http::fields& fields, std::string_view name)
{
    const auto found = fields.find({name.data(), name.size()});
    return found == fields.end() ? std::string() : std::string(found->value());
}

execution_identity identity_of(const http::fields& fields)
{
    execution_identity identity;
    const std::string key = field(fields, "idempotency-key");
    if (!key.empty())
    {
        identity.key = field(fields, "nutmeg-customer") + '/' +
                       field(fields, "nutmeg-class") + '/' + key;
    }
    identity.token = field(fields, "x-token");
    identity.request = field(fields, "nutmeg-request-id");
    return identity;
}

time_point now()
{
    return host_clock().now();
}

} // namespace

stand_in_upstream::server::server(
    const stand_in_options& options, std::unique_ptr<execution_log> log)
    : options_(options)
    , behavior_(options.behavior)
    , log_(std::move(log))
    , random_(options.seed)
    , slots_(options.behavior.slots)
{
}

stand_in_upstream::server::~server()
{
    context_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

error_code stand_in_upstream::server::start()
{
    error_code error;
    const auto endpoint = parse_endpoint(options_.address);
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
    {
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
        acceptor_.bind(endpoint, error);
    }
    if (!error)
    {
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        return error;
    }
    asio::co_spawn(context_, accept_connections(), asio::detached);
    if (!options_.daemon.empty())
    {
        asio::co_spawn(context_, announce_periodically(), asio::detached);
    }
    thread_ = std::thread(
        [this]
        {
            context_.run();
        });
    return {};
}

outcome<void, behavior_problem>
stand_in_upstream::server::control(std::string_view text)
{
    std::promise<outcome<void, behavior_problem>> done;
    asio::post(
        context_,
        [&]
        {
            done.set_value(apply(text));
        });
    return done.get_future().get();
}

outcome<void, behavior_problem>
stand_in_upstream::server::apply(std::string_view text)
{
    const auto merged = merge_behavior(behavior_, text);
    if (!merged)
    {
        return merged.error();
    }
    behavior_ = *merged;
    slots_.resize(behavior_.slots);
    if (behavior_.cold_ms > 0)
    {
        cold_length_ = std::chrono::milliseconds(behavior_.cold_ms);
        cold_until_ = now() + cold_length_;
    }
    return {};
}

asio::awaitable<void> stand_in_upstream::server::accept_connections()
{
    for (;;)
    {
        error_code error;
        auto token = asio::redirect_error(asio::use_awaitable, error);
        auto socket = co_await acceptor_.async_accept(token);
        if (error)
        {
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        auto from = std::make_shared<session>(std::move(socket));
        asio::co_spawn(context_, serve(std::move(from)), asio::detached);
    }
}

asio::awaitable<void> stand_in_upstream::server::announce_periodically()
{
    const auto daemon = parse_endpoint(options_.daemon);
    asio::steady_timer timer(context_);
    for (;;)
    {
        const json::object body{
            {"service", options_.service},
            {"address",
             options_.announce_as.empty() ? options_.address
                                          : options_.announce_as},
            {"state", behavior_.state}};
        http_request request;
        request.method = "PUT";
        request.target = "/nutmegusher/announce";
        request.headers = {{"content-type", "application/json"}};
        request.body = json::serialize(body);
        if (!behavior_.frozen)
        {
            co_await client_.call(daemon, request, announce_timeout);
        }
        timer.expires_after(announce_period);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> stand_in_upstream::server::serve(session_pointer from)
{
    while (from->open)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(request_body_limit);
        error_code error;
        auto token = asio::redirect_error(asio::use_awaitable, error);
        co_await http::async_read(from->stream, from->buffer, parser, token);
        if (error)
        {
            co_return;
        }
        from->request = parser.release();
        from->open = from->request.keep_alive();
        const auto target = from->request.target();
        if (target.starts_with("/stand-in/") ||
            target.starts_with("/nutmegusher/"))
        {
            auto answer = answer_control_request(from->request);
            co_await send(from, std::move(answer));
        }
        else
        {
            co_await serve_call(from);
        }
    }
}

asio::awaitable<void>
stand_in_upstream::server::serve_call(session_pointer from)
{
    if (should_shed())
    {
        ++shed_;
        response_message answer(http::status::service_unavailable, 11);
        if (behavior_.shed_says_not_run)
        {
            answer.set("nutmeg-not-run", "true");
        }
        co_await send(from, std::move(answer));
        co_return;
    }
    auto call =
        std::make_shared<internal::running_call>(context_.get_executor());
    watch_for_close(from, call);
    co_await run_call(from, call);
}

bool stand_in_upstream::server::should_shed() const
{
    return behavior_.shed_above > 0 &&
           slots_.busy() + slots_.waiting() >= behavior_.shed_above;
}

void stand_in_upstream::server::watch_for_close(
    const session_pointer& from, const call_pointer& call)
{
    auto& socket = from->stream.socket();
    socket.async_wait(
        asio::socket_base::wait_read,
        [this, from, call](error_code error)
        {
            if (error)
            {
                return;
            }
            char byte = 0;
            error_code closed;
            from->stream.socket().receive(
                asio::buffer(&byte, 1),
                asio::socket_base::message_peek,
                closed);
            if (closed)
            {
                ++cancelled_;
                call->cancelled = true;
                call->wake.cancel();
            }
        });
}

asio::awaitable<void>
stand_in_upstream::server::run_call(session_pointer from, call_pointer call)
{
    const bool granted = co_await slots_.acquire(call);
    if (!granted)
    {
        from->open = false;
        co_return;
    }
    const auto identity = identity_of(from->request);
    if (field(from->request, "nutmeg-timeout-ms").empty())
    {
        ++without_deadline_;
    }
    log_->started(identity);
    co_await execute(from, call);
    slots_.release();
    if (call->cancelled)
    {
        from->open = false;
        co_return;
    }
    log_->finished(identity);
    error_code ignored;
    // Cancels the wait of watch_for_close; the connection stays open.
    from->stream.socket().cancel(ignored);
    co_await send_body(from);
}

asio::awaitable<void>
stand_in_upstream::server::execute(session_pointer from, call_pointer call)
{
    const double needed = service_ms(from->request);
    const bool served = co_await wait(call, needed);
    if (served && !behavior_.sub_calls.empty())
    {
        co_await make_sub_calls(from);
    }
    if (served && behavior_.late_ms > 0)
    {
        co_await wait(call, behavior_.late_ms);
    }
}

asio::awaitable<bool>
stand_in_upstream::server::wait(call_pointer call, double milliseconds)
{
    const auto needed = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
    auto until = now() + needed;
    while (!call->cancelled && (behavior_.frozen || now() < until))
    {
        error_code ignored;
        auto token = asio::redirect_error(asio::use_awaitable, ignored);
        call->wake.expires_at(
            behavior_.frozen ? now() + frozen_poll_interval : until);
        co_await call->wake.async_wait(token);
    }
    co_return !call->cancelled;
}

double stand_in_upstream::server::service_ms(const request_message& request)
{
    const std::string asked = field(request, "x-service-ms");
    double mean =
        asked.empty() ? behavior_.service_ms : std::atof(asked.c_str());
    if (behavior_.exponential)
    {
        mean *= -std::log(1.0 - uniform_unit(random_));
    }
    return mean * behavior_.slow_factor * cold_multiplier();
}

double stand_in_upstream::server::cold_multiplier() const
{
    if (!cold_until_ || now() >= *cold_until_)
    {
        return 1.0;
    }
    const double left = static_cast<double>((*cold_until_ - now()).count()) /
                        static_cast<double>(cold_length_.count());
    return 1.0 + (behavior_.cold_factor - 1.0) * left;
}

asio::awaitable<bool>
stand_in_upstream::server::make_sub_calls(session_pointer from)
{
    const auto daemon = parse_endpoint(options_.daemon);
    const std::string token = field(from->request, "x-token");
    const std::chrono::milliseconds timeout(behavior_.sub_call_timeout_ms);
    const auto planned = behavior_.sub_calls;
    bool all_completed = true;
    for (const auto& sub : planned)
    {
        http_request request;
        request.method = sub.method;
        request.target = sub.target;
        request.headers = {
            {"nutmeg-request-id", field(from->request, "nutmeg-request-id")},
            {"x-token", token}};
        for (std::uint32_t i = 0; i < sub.count; ++i)
        {
            ++sub_calls_made_;
            const auto result = co_await client_.call(daemon, request, timeout);
            if (!result || result->status != 200)
            {
                ++sub_calls_failed_;
                all_completed = false;
            }
        }
    }
    co_return all_completed;
}

asio::awaitable<void>
stand_in_upstream::server::send(session_pointer from, response_message answer)
{
    answer.keep_alive(from->open);
    answer.prepare_payload();
    error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    co_await http::async_write(from->stream, answer, token);
    from->open = from->open && !error;
}

} // namespace nutmegusher::test_support
