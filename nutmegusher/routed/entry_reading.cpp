#include "nutmegusher/routed/entry_reading.hpp"

#include "nutmegusher/node/body_reader.hpp"
#include "nutmegusher/routed/entry_answer.hpp"
#include "nutmegusher/routed/entry_team.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace nutmegusher::routed::internal
{

namespace
{

using node::call_reason;
using node::refusal;

// Longest wait for the first document of routes after the daemon's start. A
// control host sends it within tens of milliseconds once it has a leader, and a
// refused caller retries once at most. The wait is also limited to a fraction
// of the caller's timeout, so that a caller that is refused in the end can
// still be served elsewhere.
constexpr duration max_routes_wait = std::chrono::seconds(1);
constexpr int routes_wait_divisor = 4;
constexpr duration routes_poll_interval = std::chrono::milliseconds(10);
// Largest body accepted before the configured limit is known.
constexpr std::uint64_t max_body_bytes_without_routes = 65536;

bool is_forwarded(const entry_request& request, std::string_view name)
{
    const auto& names = request.state.names;
    const bool is_key =
        name == names.authorization && !request.view->teams().empty();
    return name != "host" && name != "connection" &&
           name != "transfer-encoding" && name != "keep-alive" &&
           name != "expect" && name != "upgrade" && name != "te" &&
           name != "trailer" && name != "content-length" &&
           name != "proxy-connection" && name != names.request_id &&
           name != names.time_left && name != names.expected_upstream &&
           name != names.caller_service && name != names.team && !is_key &&
           !name.starts_with("nutmeg-");
}

void copy_forwarded_fields(entry_request& request)
{
    const auto& head = request.exchange.head();
    request.call.head.method = head.method;
    request.call.head.path = head.path;
    for (const auto& item : head.fields)
    {
        if (is_forwarded(request, item.name))
        {
            request.call.head.fields.push_back(item);
        }
    }
}

std::optional<refusal> read_metadata(entry_request& request)
{
    const auto& names = request.state.names;
    auto& metadata = request.call.metadata;
    metadata.id = request.field(names.request_id);
    if (!node::is_token(metadata.id))
    {
        return refusal{call_reason::bad_header};
    }
    const auto timeout = request.field(names.time_left);
    const auto remaining = node::parse_milliseconds(timeout);
    if (!timeout.empty() && !remaining)
    {
        return refusal{call_reason::bad_header};
    }
    metadata.host = request.field("host");
    const auto& configured = request.state.process.configured;
    metadata.caller_service = configured.upstream.service;
    metadata.caller_data_center = configured.host.data_center;
    metadata.team = request.caller_team ? request.caller_team->name : "";
    metadata.rank = request.view->teams().ranks().rank_of(
        request.caller_team ? request.caller_team->rank : std::nullopt,
        request.route->rank);
    metadata.repeatable = request.route->repeatable;
    metadata.bulk = request.route->bulk;
    metadata.target = request.route->target;
    metadata.work_class = request.route->hash;
    metadata.deadline =
        request.arrived + std::min(
                              remaining.value_or(request.route->deadline),
                              request.route->deadline);
    copy_forwarded_fields(request);
    return std::nullopt;
}

std::optional<refusal> route_request(entry_request& request)
{
    if (!request.has_routes())
    {
        return no_routes_known();
    }
    const auto& head = request.exchange.head();
    request.route =
        request.view->routes().find(request.field("host"), head.path);
    if (request.route == nullptr)
    {
        return refusal{call_reason::no_such_route};
    }
    if (const auto rejection = identify_team(request))
    {
        return rejection;
    }
    return read_metadata(request);
}

asio::awaitable<void> wait_for_routes(entry_request& request)
{
    const auto timeout =
        node::parse_milliseconds(request.field(request.state.names.time_left));
    const duration max_wait =
        timeout.value_or(max_routes_wait) / routes_wait_divisor;
    const auto until = request.arrived + std::min(max_routes_wait, max_wait);
    asio::steady_timer timer(request.worker.context);
    while (!request.has_routes() && host_clock().now() < until)
    {
        timer.expires_after(routes_poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
        request.take_view();
    }
}

// The refusal of a request whose body can't be read; empty if the caller has
// left.
std::optional<refusal>
refusal_of(const entry_request& request, node::caller_failure failure)
{
    switch (failure)
    {
    case node::caller_failure::disconnected:
        break;
    case node::caller_failure::malformed:
        return refusal{call_reason::bad_request};
    case node::caller_failure::too_large:
        return request.has_routes() ? refusal{call_reason::too_large}
                                    : no_routes_known();
    case node::caller_failure::too_slow:
        return refusal{call_reason::deadline};
    case node::caller_failure::no_room:
        return refusal{
            call_reason::no_room,
            call_outcome::not_run,
            memory_budget::stall_time};
    case node::caller_failure::given_up:
        return stopping(request);
    }
    return std::nullopt;
}

asio::awaitable<bool> read_body(entry_request& request, std::uint64_t limit)
{
    const auto most =
        limit > 0 ? limit
                  : request.state.process.request_memory.largest_share();
    const auto read = co_await node::read_whole_body(
        request.exchange, most, request.memory, request.call.body);
    if (read)
    {
        request.memory.finish_arriving();
        co_return true;
    }
    const auto rejection = refusal_of(request, read.error());
    if (rejection && rejection->reason == call_reason::no_room)
    {
        co_await give_up(request, *rejection);
    }
    else if (rejection)
    {
        co_await refuse(request, *rejection);
    }
    co_return false;
}

} // namespace

asio::awaitable<bool> read_request(entry_request& request)
{
    if (!request.has_routes())
    {
        co_return co_await read_body(request, max_body_bytes_without_routes);
    }
    if (const auto rejection = route_request(request))
    {
        co_await refuse(request, *rejection);
        co_return false;
    }
    request.exchange.limit_reading(request.call.metadata.deadline);
    co_return co_await read_body(
        request, request.view->routes().limits().body_bytes());
}

asio::awaitable<std::optional<refusal>> wait_for_route(entry_request& request)
{
    co_await wait_for_routes(request);
    co_return route_request(request);
}

} // namespace nutmegusher::routed::internal
