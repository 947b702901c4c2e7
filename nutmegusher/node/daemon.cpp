#include "nutmegusher/node/daemon.hpp"

#include "nutmegusher/node/daemon_state.hpp"
#include "nutmegusher/node/entry_chain.hpp"
#include "nutmegusher/node/json_messages.hpp"
#include "nutmegusher/node/upstream_chain.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <thread>
#include <vector>

namespace nutmegusher::node
{

namespace
{

// Resolution at which queued calls expire and stalls are detected; well below
// the shortest latency target of a class (tens of milliseconds).
constexpr duration tick_interval = std::chrono::milliseconds(2);
// Tick interval while no call runs or waits: 50 wake-ups a second instead of
// 500.
constexpr duration idle_tick_interval = std::chrono::milliseconds(20);
constexpr duration upstream_check_interval = std::chrono::milliseconds(500);
constexpr std::size_t max_announcement_bytes = 4096;
// Listeners for operators and metrics each take a part of the callers' limit.
constexpr std::uint32_t operator_connections_part = 8;
constexpr std::uint32_t min_operator_connections = 64;
constexpr std::string_view control_prefix = "/control/";
constexpr std::string_view announce_path = "/nutmegusher/announce";

void log_upstream_change(upstream_change change, const service_name& service)
{
    switch (change)
    {
    case upstream_change::appeared:
    case upstream_change::starting:
        log_event(event::upstream_announced, {{"service", service.str()}});
        break;
    case upstream_change::leaving:
        log_event(event::upstream_leaving, {{"service", service.str()}});
        break;
    case upstream_change::lost:
        log_event(event::upstream_lost, {{"service", service.str()}});
        break;
    case upstream_change::none:
        break;
    }
}

http_server_options
options_of_all(controllers& shared, std::string_view listener)
{
    http_server_options options;
    options.header_bytes = shared.configured.limits.header_bytes;
    options.on_full = [&shared, listener](bool accepted)
    {
        shared.decisions.add(
            accepted ? decision_counter::connections_ended
                     : decision_counter::connections_refused,
            listener);
    };
    return options;
}

// Of a listener for operators or metrics: both are few.
http_server_options
options_for_operators(controllers& shared, std::string_view listener)
{
    auto options = options_of_all(shared, listener);
    options.connections = std::max(
        min_operator_connections,
        shared.configured.limits.connections / operator_connections_part);
    return options;
}

// Of a listener for callers or the upstream, one of which each worker has.
http_server_options
options_for_callers(controllers& shared, std::string_view listener)
{
    auto options = options_of_all(shared, listener);
    const auto& configured = shared.configured;
    options.connections =
        configured.limits.connections / configured.host.threads + 1;
    options.reuse_port = true;
    return options;
}

// The configuration's bounds for callers, and the process's own where it has
// none.
request_bounds
bounds_of(const messages::request_limits& limits, std::uint32_t header_bytes)
{
    using std::chrono::milliseconds;
    request_bounds bounds;
    bounds.header_bytes =
        limits.header_bytes() > 0 ? limits.header_bytes() : header_bytes;
    if (limits.idle_ms() > 0)
    {
        bounds.idle_timeout = milliseconds(limits.idle_ms());
    }
    if (limits.header_ms() > 0)
    {
        bounds.header_timeout = milliseconds(limits.header_ms());
    }
    return bounds;
}

} // namespace

leaf::result<void> daemon::state::open()
{
    // Installed before any storage is read, so that a signal during the start
    // also begins a graceful shutdown.
    signals.emplace(first().context, SIGTERM, SIGINT);
    if (shared.configured.control)
    {
        BOOST_LEAF_ASSIGN(control, control_service::start(first()));
    }
    callbacks = make_operator_callbacks();
    attach_extension();
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        BOOST_LEAF_CHECK(open_worker(i));
    }
    BOOST_LEAF_ASSIGN(
        operators,
        http_server::listen(
            first().context,
            shared.configured.listen.operators,
            [this](caller_exchange& exchange)
            {
                return serve_operators(first(), exchange);
            },
            options_for_operators(shared, "operators")));
    const auto& metrics = shared.configured.listen.metrics;
    if (metrics)
    {
        BOOST_LEAF_ASSIGN(
            metrics_server,
            http_server::listen(
                first().context,
                *metrics,
                [this](caller_exchange& exchange)
                {
                    return serve_metrics(first(), exchange);
                },
                options_for_operators(shared, "metrics")));
    }
    return {};
}

leaf::result<void> daemon::state::open_worker(std::size_t index)
{
    auto& current_worker = *workers[index];
    auto& own = listeners_by_worker[index];
    const auto& listen = shared.configured.listen;
    if (listen.callers)
    {
        auto options = options_for_callers(shared, "callers");
        options.bounds = [this]
        {
            return bounds_of(
                shared.configuration.current()->routes().limits(),
                shared.configured.limits.header_bytes);
        };
        BOOST_LEAF_ASSIGN(
            own.callers,
            http_server::listen(
                current_worker.context,
                *listen.callers,
                [this, &current_worker](caller_exchange& exchange)
                {
                    return serve_caller(current_worker, exchange);
                },
                options));
    }
    if (listen.upstream)
    {
        BOOST_LEAF_ASSIGN(
            own.upstream,
            http_server::listen(
                current_worker.context,
                *listen.upstream,
                [this, &current_worker](caller_exchange& exchange)
                {
                    return serve_own_upstream(current_worker, exchange);
                },
                options_for_callers(shared, "upstream")));
    }
    BOOST_LEAF_ASSIGN(
        own.peers,
        wire::server::listen(
            current_worker.context,
            listen.peers,
            [this, &current_worker](std::shared_ptr<wire::server_stream> stream)
            {
                return serve_peer(current_worker, std::move(stream));
            },
            wire::session_options(),
            true));
    return {};
}

void daemon::state::attach_extension()
{
    if (!optional_extension)
    {
        return;
    }
    const auto announce = [this](const announcement& received)
    {
        apply_upstream_change(
            shared.upstream.announce(received, host_clock().now()),
            received.service);
    };
    const auto store = [this](messages::upstream_withdrawal withdrawal)
    {
        return withdrawals->store(std::move(withdrawal));
    };
    optional_extension->attach({shared, announce, store, callbacks.control});
    shared.on_withdrawals =
        [this](const std::vector<messages::upstream_withdrawal>& left)
    {
        optional_extension->restore_withdrawals(left);
    };
}

asio::awaitable<void>
daemon::state::serve_caller(worker& current_worker, caller_exchange& exchange)
{
    if (optional_extension)
    {
        const bool served =
            co_await optional_extension->serve_caller(current_worker, exchange);
        if (served)
        {
            co_return;
        }
    }
    co_await serve_request(current_worker, exchange, request_origin::caller);
}

asio::awaitable<void> daemon::state::serve_operators(
    worker& current_worker, caller_exchange& exchange)
{
    if (optional_extension)
    {
        const bool served = co_await optional_extension->serve_operator(
            current_worker, exchange);
        if (served)
        {
            co_return;
        }
    }
    co_await serve_operator(current_worker, callbacks, exchange);
}

operator_callbacks daemon::state::make_operator_callbacks()
{
    operator_callbacks result;
    result.sync = [this]
    {
        return sync->dump();
    };
    result.drain = [this]
    {
        begin_shut_down();
    };
    if (optional_extension)
    {
        result.extension = [this]
        {
            return optional_extension->dump();
        };
    }
    if (control)
    {
        result.control = control->answers();
    }
    return result;
}

asio::awaitable<void> daemon::state::serve_peer(
    worker& current_worker, std::shared_ptr<wire::server_stream> stream)
{
    if (stream->head().path.starts_with(control_prefix))
    {
        if (control)
        {
            co_await control->serve(current_worker, std::move(stream));
        }
        else
        {
            wire::response_head head{404, {}};
            co_await stream->write_head(std::move(head), true);
        }
        co_return;
    }
    if (optional_extension)
    {
        const bool served =
            co_await optional_extension->serve_peer(current_worker, stream);
        if (served)
        {
            co_return;
        }
    }
    co_await serve_peer_call(current_worker, std::move(stream));
}

asio::awaitable<void> daemon::state::serve_own_upstream(
    worker& current_worker, caller_exchange& exchange)
{
    if (optional_extension)
    {
        const bool served = co_await optional_extension->serve_upstream(
            current_worker, exchange);
        if (served)
        {
            co_return;
        }
    }
    if (exchange.head().path == announce_path)
    {
        co_await handle_announcement(exchange);
        co_return;
    }
    co_await serve_request(
        current_worker, exchange, request_origin::own_upstream);
}

asio::awaitable<void>
daemon::state::handle_announcement(caller_exchange& exchange)
{
    std::string text;
    std::array<std::byte, max_announcement_bytes> chunk;
    while (text.size() <= max_announcement_bytes)
    {
        const auto read_size = co_await exchange.read_some(chunk);
        if (!read_size)
        {
            co_return;
        }
        if (*read_size == 0)
        {
            break;
        }
        text.append(reinterpret_cast<const char*>(chunk.data()), *read_size);
    }
    std::optional<json_error> parse_error;
    std::optional<announcement> received;
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(received, parse_announcement(text));
            return {};
        },
        [&](const json_error& error)
        {
            parse_error = error;
        },
        [&]
        {
            parse_error = json_error{};
        });
    if (parse_error)
    {
        const auto body = json::serialize(to_json(*parse_error));
        wire::response_head head{400, {{"content-type", "application/json"}}};
        co_await exchange.answer(std::move(head), body);
        co_return;
    }
    apply_upstream_change(
        shared.upstream.announce(*received, host_clock().now()),
        received->service);
    wire::response_head head{204, {}};
    co_await exchange.answer(std::move(head), "");
}

void daemon::state::apply_upstream_change(
    upstream_change change, const service_name& service)
{
    if (change == upstream_change::none)
    {
        return;
    }
    log_upstream_change(change, service);
    const bool serves = change == upstream_change::appeared;
    if (serves)
    {
        shared.admission.begin_warm_up();
    }
    shared.admission.set_leaving(!serves || shared.stopping);
    shared.request_sync();
}

asio::awaitable<void> daemon::state::run_ticks()
{
    asio::steady_timer timer(first().context);
    while (true)
    {
        shared.admission.tick();
        const auto now = shared.admission.state();
        const bool busy = now.short_lane.in_flight + now.short_lane.waiting +
                              now.bulk_lane.in_flight + now.bulk_lane.waiting >
                          0;
        timer.expires_after(busy ? tick_interval : idle_tick_interval);
        co_await timer.async_wait(as_tuple_awaitable);
    }
}

asio::awaitable<void> daemon::state::watch_upstream()
{
    asio::steady_timer timer(first().context);
    while (true)
    {
        timer.expires_after(upstream_check_interval);
        co_await timer.async_wait(as_tuple_awaitable);
        const auto own = shared.upstream.record();
        const auto service = service_name(own ? own->service() : "");
        apply_upstream_change(
            shared.upstream.expire(host_clock().now()), service);
    }
}

asio::awaitable<void> daemon::state::wait_for_signal()
{
    const auto [failed, number] =
        co_await signals->async_wait(as_tuple_awaitable);
    if (!failed)
    {
        begin_shut_down();
    }
}

// The only coroutine of the process that isn't one of its tasks, as it waits
// for their end.
void daemon::state::begin_shut_down()
{
    asio::co_spawn(first().context, shut_down(), asio::detached);
}

leaf::result<std::unique_ptr<daemon>> daemon::start(
    const settings& from, std::unique_ptr<extension> optional_extension)
{
    const incarnation run(wall_milliseconds());
    auto result =
        std::make_unique<state>(from, run, std::move(optional_extension));
    BOOST_LEAF_CHECK(result->open());
    return std::unique_ptr<daemon>(new daemon(std::move(result)));
}

daemon::daemon(std::unique_ptr<state> state)
    : state_(std::move(state))
{
}

daemon::~daemon() = default;

void daemon::run()
{
    auto& tasks = state_->first().tasks;
    tasks.spawn(state_->sync->run());
    tasks.spawn(state_->sync->monitor_age());
    if (state_->shared.configured.listen.callers)
    {
        tasks.spawn(state_->quotas->run());
    }
    if (!state_->optional_extension)
    {
        tasks.spawn(state_->run_ticks());
    }
    tasks.spawn(state_->watch_upstream());
    tasks.spawn(state_->wait_for_signal());
    log_event(
        event::process_started,
        {{"host", state_->shared.configured.host.id.str()}});
    std::vector<std::jthread> threads;
    for (std::size_t i = 1; i < state_->workers.size(); ++i)
    {
        auto& context = state_->workers[i]->context;
        threads.emplace_back(
            [&context]
            {
                // Keeps the context running after its listeners have closed:
                // the shutdown still counts open connections on it.
                const auto work = asio::make_work_guard(context);
                context.run();
            });
    }
    state_->first().context.run();
}

void daemon::stop()
{
    state_->begin_shut_down();
}

} // namespace nutmegusher::node
