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

#include <array>
#include <csignal>
#include <thread>
#include <vector>

namespace nutmegusher::node
{

namespace
{

// Waiting calls expire and stalls are noticed at this grain; well below the
// shortest target of a class (tens of milliseconds).
constexpr duration tick_interval = std::chrono::milliseconds(2);
// The same while nothing runs or waits: 50 wake-ups a second in place of 500.
constexpr duration idle_tick_interval = std::chrono::milliseconds(20);
constexpr duration upstream_check_interval = std::chrono::milliseconds(500);
constexpr std::size_t announcement_bytes = 4096;
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

http_server_options options_for(const settings& from)
{
    http_server_options options;
    options.connections = from.limits.connections / from.host.threads + 1;
    options.header_bytes = from.limits.header_bytes;
    options.reuse_port = true;
    return options;
}

} // namespace

leaf::result<void> daemon::state::open()
{
    // Before anything is read: a signal that comes meanwhile is a stop, too.
    signals.emplace(first().context, SIGTERM, SIGINT);
    if (shared.configured.control)
    {
        BOOST_LEAF_ASSIGN(control, control_service::start(first()));
    }
    sources = make_sources();
    attach_extension();
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        BOOST_LEAF_CHECK(open_worker(i));
    }
    http_server_options options;
    BOOST_LEAF_ASSIGN(
        operators,
        http_server::listen(
            first().context,
            shared.configured.listen.operators,
            [this](caller_exchange& exchange)
            {
                return serve_operators(first(), exchange);
            },
            options));
    const auto& metrics = shared.configured.listen.metrics;
    if (metrics)
    {
        BOOST_LEAF_ASSIGN(
            collectors,
            http_server::listen(
                first().context,
                *metrics,
                [this](caller_exchange& exchange)
                {
                    return serve_metrics(first(), exchange);
                },
                options));
    }
    return {};
}

leaf::result<void> daemon::state::open_worker(std::size_t index)
{
    auto& here = *workers[index];
    auto& own = listening[index];
    const auto& listen = shared.configured.listen;
    const auto options = options_for(shared.configured);
    if (listen.callers)
    {
        BOOST_LEAF_ASSIGN(
            own.callers,
            http_server::listen(
                here.context,
                *listen.callers,
                [this, &here](caller_exchange& exchange)
                {
                    return serve_caller(here, exchange);
                },
                options));
    }
    if (listen.upstream)
    {
        BOOST_LEAF_ASSIGN(
            own.upstream,
            http_server::listen(
                here.context,
                *listen.upstream,
                [this, &here](caller_exchange& exchange)
                {
                    return serve_own_upstream(here, exchange);
                },
                options));
    }
    BOOST_LEAF_ASSIGN(
        own.peers,
        wire::server::listen(
            here.context,
            listen.peers,
            [this, &here](std::shared_ptr<wire::server_stream> stream)
            {
                return serve_peer(here, std::move(stream));
            },
            wire::session_options(),
            true));
    return {};
}

void daemon::state::attach_extension()
{
    if (!added)
    {
        return;
    }
    const auto announce = [this](const announcement& said)
    {
        apply(shared.upstream.announce(said, host_clock().now()), said.service);
    };
    added->attach({shared, announce, sources.control});
}

asio::awaitable<void>
daemon::state::serve_caller(worker& here, caller_exchange& exchange)
{
    if (added)
    {
        const bool served = co_await added->serve_caller(here, exchange);
        if (served)
        {
            co_return;
        }
    }
    co_await serve_request(here, exchange, request_origin::caller);
}

asio::awaitable<void>
daemon::state::serve_operators(worker& here, caller_exchange& exchange)
{
    if (added)
    {
        const bool served = co_await added->serve_operator(here, exchange);
        if (served)
        {
            co_return;
        }
    }
    co_await serve_operator(here, sources, exchange);
}

operator_sources daemon::state::make_sources()
{
    operator_sources made;
    made.sync = [this]
    {
        return sync->dump();
    };
    made.drain = [this]
    {
        asio::co_spawn(first().context, shut_down(), asio::detached);
    };
    if (control)
    {
        made.control = control->answers();
    }
    return made;
}

asio::awaitable<void> daemon::state::serve_peer(
    worker& here, std::shared_ptr<wire::server_stream> stream)
{
    if (stream->head().path.starts_with(control_prefix))
    {
        if (control)
        {
            co_await control->serve(here, std::move(stream));
        }
        else
        {
            wire::response_head head{404, {}};
            co_await stream->write_head(std::move(head), true);
        }
        co_return;
    }
    if (added)
    {
        const bool served = co_await added->serve_peer(here, stream);
        if (served)
        {
            co_return;
        }
    }
    co_await serve_peer_call(here, std::move(stream));
}

asio::awaitable<void>
daemon::state::serve_own_upstream(worker& here, caller_exchange& exchange)
{
    if (added)
    {
        const bool served = co_await added->serve_upstream(here, exchange);
        if (served)
        {
            co_return;
        }
    }
    if (exchange.head().path == announce_path)
    {
        co_await take_announcement(exchange);
        co_return;
    }
    co_await serve_request(here, exchange, request_origin::own_upstream);
}

asio::awaitable<void>
daemon::state::take_announcement(caller_exchange& exchange)
{
    std::string text;
    std::array<std::byte, announcement_bytes> piece;
    while (text.size() <= announcement_bytes)
    {
        const auto got = co_await exchange.read_some(piece);
        if (!got)
        {
            co_return;
        }
        if (*got == 0)
        {
            break;
        }
        text.append(reinterpret_cast<const char*>(piece.data()), *got);
    }
    std::optional<json_error> wrong;
    std::optional<announcement> said;
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(said, parse_announcement(text));
            return {};
        },
        [&](const json_error& error)
        {
            wrong = error;
        },
        [&]
        {
            wrong = json_error{};
        });
    if (wrong)
    {
        const auto body = json::serialize(to_json(*wrong));
        wire::response_head head{400, {{"content-type", "application/json"}}};
        co_await exchange.answer(std::move(head), body);
        co_return;
    }
    apply(shared.upstream.announce(*said, host_clock().now()), said->service);
    wire::response_head head{204, {}};
    co_await exchange.answer(std::move(head), "");
}

void daemon::state::apply(upstream_change change, const service_name& service)
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
        apply(shared.upstream.expire(host_clock().now()), service);
    }
}

asio::awaitable<void> daemon::state::wait_for_signal()
{
    co_await signals->async_wait(as_tuple_awaitable);
    co_await shut_down();
}

leaf::result<std::unique_ptr<daemon>>
daemon::start(const settings& from, std::unique_ptr<extension> added)
{
    const incarnation run(wall_milliseconds());
    auto made = std::make_unique<state>(from, run, std::move(added));
    BOOST_LEAF_CHECK(made->open());
    return std::unique_ptr<daemon>(new daemon(std::move(made)));
}

daemon::daemon(std::unique_ptr<state> state)
    : state_(std::move(state))
{
}

daemon::~daemon() = default;

void daemon::run()
{
    auto& first = state_->first().context;
    asio::co_spawn(first, state_->sync->run(), asio::detached);
    asio::co_spawn(first, state_->sync->monitor_age(), asio::detached);
    if (!state_->added)
    {
        asio::co_spawn(first, state_->run_ticks(), asio::detached);
    }
    asio::co_spawn(first, state_->watch_upstream(), asio::detached);
    asio::co_spawn(first, state_->wait_for_signal(), asio::detached);
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
                // A stop counts here after the last listener has closed.
                const auto work = asio::make_work_guard(context);
                context.run();
            });
    }
    first.run();
}

void daemon::stop()
{
    asio::co_spawn(
        state_->first().context, state_->shut_down(), asio::detached);
}

} // namespace nutmegusher::node
