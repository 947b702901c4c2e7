// The graceful stop of a process: `stop_sequence` says when, this file does it.
#include "nutmegusher/node/daemon_state.hpp"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <utility>

namespace nutmegusher::node
{

namespace
{

// While connections are accepted, other daemons' calls still run on the
// upstream for this part of the time, so that a restart takes it out for less;
// the rest is for calls that it works on to end.
constexpr int serving_part = 3;
constexpr int accepting_parts = 5;
// Others hear within this that the upstream takes no more calls, and callers
// that the process stops.
constexpr duration leave_notice = std::chrono::milliseconds(500);
// What is left of the limit when requests are given up: their answers take a
// moment to be written.
constexpr duration longest_closing = std::chrono::milliseconds(1300);
constexpr int closing_part = 15;

// `sub_calls_as_callers`: the own upstream's come in at the callers' listener.
stop_times times_for(const shutdown_settings& from, bool sub_calls_as_callers)
{
    const auto closing = std::min(longest_closing, from.limit / closing_part);
    stop_times times;
    times.leave_after = from.accept_for * serving_part / accepting_parts;
    times.close_callers_after = std::max(from.accept_for, leave_notice);
    times.give_up_after = from.limit - closing;
    const auto patience = times.give_up_after - times.close_callers_after;
    times.close_callers_by =
        times.close_callers_after +
        (sub_calls_as_callers ? patience / 2 : duration::zero());
    times.end_after = from.limit;
    times.session_end = closing;
    return times;
}

void close_after_answers(listeners& own)
{
    if (own.callers)
    {
        own.callers->close_after_answers();
    }
}

void close_callers_of(listeners& own)
{
    if (own.callers)
    {
        own.callers->close_intake();
    }
}

void close_peers_of(listeners& own)
{
    own.peers->close_intake();
}

void end_sessions_of(listeners& own)
{
    own.peers->close_unconfirmed_sessions();
}

void close_upstream_of(listeners& own)
{
    if (own.upstream)
    {
        own.upstream->close_intake();
    }
}

void give_up_of(listeners& own)
{
    own.peers->give_up();
    if (own.callers)
    {
        own.callers->give_up();
    }
    if (own.upstream)
    {
        own.upstream->give_up();
    }
}

stop_census count_open_of(const listeners& own)
{
    stop_census open;
    open.callers = own.callers ? own.callers->connections() : 0;
    open.upstream = own.upstream ? own.upstream->connections() : 0;
    open.peer_calls = own.peers->open_streams();
    open.peer_sessions = own.peers->connections();
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
    // Streams of other control hosts are no calls, and seldom none.
    const bool sub_calls_as_callers =
        added && configured.listen.callers && !control;
    auto stop = stop_sequence::begin(
        times_for(configured.shutdown, sub_calls_as_callers),
        host_clock().now());
    asio::steady_timer timer(first().context);
    std::optional<stop_step> entered;
    stop_census open;
    while (stop.step() != stop_step::ended)
    {
        if (entered != stop.step())
        {
            entered = stop.step();
            co_await enter(*entered);
        }
        open = co_await count_open();
        stop.advance(host_clock().now(), open);
        if (entered == stop.step())
        {
            timer.expires_at(stop.next_look(host_clock().now()));
            co_await timer.async_wait(as_tuple_awaitable);
        }
    }
    end(stop, open);
}

asio::awaitable<void> daemon::state::enter(stop_step step)
{
    switch (step)
    {
    case stop_step::announced:
        shared.stopping = true;
        co_await on_each_worker(close_after_answers);
        break;
    case stop_step::leaving:
        shared.upstream.leave();
        if (added)
        {
            added->leave();
        }
        sync->sync_now();
        break;
    case stop_step::finishing_calls:
        shared.refuses_callers = true;
        break;
    case stop_step::closing_callers:
        shared.admission.set_leaving(true);
        co_await close_callers();
        if (control)
        {
            // Before anything is waited for, so that a slow operator doesn't
            // hold it up.
            co_await control->hand_over();
        }
        break;
    case stop_step::closing_peers:
        co_await close_peers();
        break;
    case stop_step::ending_sessions:
        co_await on_each_worker(end_sessions_of);
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

// Callers that have not yet heard of the stop found a listener until now.
asio::awaitable<void> daemon::state::close_callers()
{
    co_await on_each_worker(close_callers_of);
    operators->close_intake();
    if (collectors)
    {
        collectors->close_intake();
    }
}

asio::awaitable<void> daemon::state::close_peers()
{
    if (control)
    {
        control->end_syncs();
    }
    co_await on_each_worker(close_peers_of);
}

asio::awaitable<void> daemon::state::close_upstream()
{
    co_await on_each_worker(close_upstream_of);
}

asio::awaitable<void> daemon::state::give_up()
{
    co_await close_callers();
    co_await close_peers();
    co_await on_each_worker(end_sessions_of);
    co_await close_upstream();
    co_await on_each_worker(give_up_of);
    operators->give_up();
    if (collectors)
    {
        collectors->give_up();
    }
}

// Each worker's listeners are used on its own thread.
asio::awaitable<void> daemon::state::on_each_worker(void (*action)(listeners&))
{
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        auto& own = listening[i];
        const auto act = [action, &own]() -> asio::awaitable<void>
        {
            action(own);
            co_return;
        };
        co_await asio::co_spawn(
            workers[i]->context, act(), asio::use_awaitable);
    }
}

asio::awaitable<stop_census> daemon::state::count_open()
{
    stop_census open;
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        const auto& own = listening[i];
        const auto count = [&own]() -> asio::awaitable<stop_census>
        {
            co_return count_open_of(own);
        };
        const stop_census part = co_await asio::co_spawn(
            workers[i]->context, count(), asio::use_awaitable);
        open.callers += part.callers;
        open.upstream += part.upstream;
        open.peer_calls += part.peer_calls;
        open.peer_sessions += part.peer_sessions;
    }
    open.peer_calls += shared.ledger.size();
    open.upstream_calls = added ? added->calls_in_work() : 0;
    open.callers += operators->connections();
    open.callers += collectors ? collectors->connections() : 0;
    co_return open;
}

void daemon::state::end(const stop_sequence& stop, const stop_census& left)
{
    sync->stop();
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
         {"upstream", std::uint64_t{left.upstream}}});
    for (auto& each : workers)
    {
        each->context.stop();
    }
}

} // namespace nutmegusher::node
