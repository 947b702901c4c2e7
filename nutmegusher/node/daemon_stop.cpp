// Carries out the graceful shutdown of a process; `stop_sequence` decides when
// each step begins.
#include "nutmegusher/node/daemon_state.hpp"
#include "nutmegusher/node/stop_plan.hpp"

#include <boost/asio/co_spawn.hpp>

#include <utility>

namespace nutmegusher::node
{

namespace
{

void close_after_answers(listeners& worker_listeners)
{
    if (worker_listeners.callers)
    {
        worker_listeners.callers->close_after_answers();
    }
}

void close_callers_of(listeners& worker_listeners)
{
    if (worker_listeners.callers)
    {
        worker_listeners.callers->close_intake();
    }
}

void close_peers_of(listeners& worker_listeners)
{
    worker_listeners.peers->close_intake();
}

void end_sessions_of(listeners& worker_listeners)
{
    worker_listeners.peers->close_unconfirmed_sessions();
}

void close_upstream_of(listeners& worker_listeners)
{
    if (worker_listeners.upstream)
    {
        worker_listeners.upstream->close_intake();
    }
}

void give_up_of(listeners& worker_listeners)
{
    worker_listeners.peers->give_up();
    if (worker_listeners.callers)
    {
        worker_listeners.callers->give_up();
    }
    if (worker_listeners.upstream)
    {
        worker_listeners.upstream->give_up();
    }
}

open_counts count_open_of(const listeners& worker_listeners)
{
    open_counts open;
    open.callers =
        worker_listeners.callers ? worker_listeners.callers->connections() : 0;
    open.upstream = worker_listeners.upstream
                        ? worker_listeners.upstream->connections()
                        : 0;
    open.peer_calls = worker_listeners.peers->open_streams();
    open.peer_sessions = worker_listeners.peers->connections();
    open.peer_handlers = worker_listeners.peers->running_handlers();
    return open;
}

} // namespace

asio::awaitable<void> daemon::state::shut_down()
{
    if (std::exchange(shutting_down, true))
    {
        co_return;
    }
    log_event(event::process_stopping, {});
    const auto& configured = shared.configured;
    // On a control host the count of open peer streams includes those of other
    // control hosts. They aren't calls and are almost always present, so
    // waiting until there are none would nearly always run into the deadline.
    const bool sub_calls_use_callers_listener =
        optional_extension && configured.listen.callers && !control;
    const auto plan =
        make_stop_plan(configured.shutdown, sub_calls_use_callers_listener);
    const auto begun = host_clock().now();
    shared.drain.begin(
        begun + plan.bounded_after, begun + plan.times.give_up_after);
    auto stop = stop_sequence::begin(plan.times, begun);
    asio::steady_timer timer(first().context);
    std::optional<stop_step> entered_step;
    open_counts open;
    while (stop.step() != stop_step::ended)
    {
        if (entered_step != stop.step())
        {
            entered_step = stop.step();
            co_await enter_step(*entered_step);
        }
        open = co_await count_open();
        stop.advance(host_clock().now(), open);
        if (entered_step == stop.step())
        {
            timer.expires_at(stop.next_check(host_clock().now()));
            co_await timer.async_wait(as_tuple_awaitable);
        }
    }
    co_await end(stop, open);
}

asio::awaitable<void> daemon::state::enter_step(stop_step step)
{
    switch (step)
    {
    case stop_step::announced:
        shared.stopping = true;
        co_await run_on_each_worker(close_after_answers);
        break;
    case stop_step::leaving:
        shared.upstream.leave();
        if (optional_extension)
        {
            optional_extension->leave();
        }
        sync->sync_now();
        break;
    case stop_step::finishing_calls:
        shared.refuses_callers = true;
        break;
    case stop_step::closing_callers:
        shared.admission.set_leaving(true);
        quotas->stop();
        co_await close_callers();
        if (control)
        {
            // Hands over leadership before waiting for open connections, so
            // that a slow operator connection doesn't delay it.
            co_await control->hand_over();
        }
        break;
    case stop_step::closing_peers:
        co_await close_peers();
        break;
    case stop_step::ending_sessions:
        co_await run_on_each_worker(end_sessions_of);
        break;
    case stop_step::closing_upstream:
        co_await close_upstream();
        break;
    case stop_step::giving_up:
        co_await give_up();
        break;
    case stop_step::ended:
        break;
    }
    const auto open = co_await count_open();
    log_event(
        event::process_stop_step,
        {{"step", to_string(step)},
         {"callers", std::uint64_t{open.callers}},
         {"peer_calls", std::uint64_t{open.peer_calls}},
         {"peer_sessions", std::uint64_t{open.peer_sessions}},
         {"upstream", std::uint64_t{open.upstream}}});
}

// Until this step, callers that didn't know of the shutdown could still
// connect.
asio::awaitable<void> daemon::state::close_callers()
{
    co_await run_on_each_worker(close_callers_of);
    operators->close_intake();
    if (metrics_server)
    {
        metrics_server->close_intake();
    }
}

asio::awaitable<void> daemon::state::close_peers()
{
    if (control)
    {
        control->release_held_syncs();
    }
    co_await run_on_each_worker(close_peers_of);
}

asio::awaitable<void> daemon::state::close_upstream()
{
    co_await run_on_each_worker(close_upstream_of);
}

asio::awaitable<void> daemon::state::give_up()
{
    co_await close_callers();
    co_await close_peers();
    co_await run_on_each_worker(end_sessions_of);
    co_await close_upstream();
    co_await run_on_each_worker(give_up_of);
    operators->give_up();
    if (metrics_server)
    {
        metrics_server->give_up();
    }
}

// Listeners aren't thread-safe: `action` runs on the thread of each worker.
asio::awaitable<void>
daemon::state::run_on_each_worker(void (*action)(listeners&))
{
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        auto& worker_listeners = listeners_by_worker[i];
        const auto act = [action, &worker_listeners]() -> asio::awaitable<void>
        {
            action(worker_listeners);
            co_return;
        };
        co_await asio::co_spawn(
            workers[i]->context, act(), asio::use_awaitable);
    }
}

asio::awaitable<open_counts> daemon::state::count_open()
{
    open_counts open;
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        const auto& worker_listeners = listeners_by_worker[i];
        const auto count = [&worker_listeners]() -> asio::awaitable<open_counts>
        {
            co_return count_open_of(worker_listeners);
        };
        const open_counts worker_counts = co_await asio::co_spawn(
            workers[i]->context, count(), asio::use_awaitable);
        open.callers += worker_counts.callers;
        open.upstream += worker_counts.upstream;
        open.peer_calls += worker_counts.peer_calls;
        open.peer_sessions += worker_counts.peer_sessions;
        open.peer_handlers += worker_counts.peer_handlers;
    }
    open.peer_calls += shared.ledger.size();
    open.upstream_calls =
        optional_extension ? optional_extension->calls_in_flight() : 0;
    open.callers += operators->connections();
    open.callers += metrics_server ? metrics_server->connections() : 0;
    co_return open;
}

// Ends every coroutine on its own thread while everything that it uses still
// exists; only then the threads end.
asio::awaitable<void>
daemon::state::end(const stop_sequence& stop, open_counts left)
{
    sync->stop();
    quotas->stop();
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        co_await asio::co_spawn(
            workers[i]->context, end_tasks(i), asio::use_awaitable);
    }
    if (control)
    {
        control->stop();
    }
    log_event(
        event::process_stopped,
        {{"cut", !left.is_empty()},
         {"gave_up", stop.has_given_up()},
         {"callers", std::uint64_t{left.callers}},
         {"peer_calls", std::uint64_t{left.peer_calls}},
         {"peer_handlers", std::uint64_t{left.peer_handlers}},
         {"upstream", std::uint64_t{left.upstream}}});
    for (auto& each : workers)
    {
        each->context.stop();
    }
}

// Handlers first, as they use the tasks and the sessions.
asio::awaitable<void> daemon::state::end_tasks(std::size_t index)
{
    auto& own = listeners_by_worker[index];
    if (own.callers)
    {
        co_await own.callers->end();
    }
    if (own.upstream)
    {
        co_await own.upstream->end();
    }
    co_await own.peers->end();
    if (index == 0)
    {
        co_await operators->end();
        if (metrics_server)
        {
            co_await metrics_server->end();
        }
    }
    co_await workers[index]->tasks.end();
    co_await workers[index]->peers.end();
}

} // namespace nutmegusher::node
