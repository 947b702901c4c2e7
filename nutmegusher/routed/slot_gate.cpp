#include "nutmegusher/routed/slot_gate.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <memory>

namespace nutmegusher::routed
{

namespace
{

// Shortest wait between two checks of a waiting call: its timer may fire
// slightly before the queue finds the call hopeless.
constexpr duration min_wait = std::chrono::milliseconds(2);

// How often the state of a congested upstream is logged.
constexpr duration log_interval = std::chrono::seconds(1);

} // namespace

slot_gate::slot_gate(std::uint64_t seed)
    : queue_(seed)
{
}

ticket_id slot_gate::next_ticket()
{
    const std::scoped_lock lock(mutex_);
    return ticket_id(++last_ticket_);
}

asio::awaitable<node::gate_verdict> slot_gate::enter(call_info call)
{
    auto executor = co_await asio::this_coro::executor;
    std::shared_ptr<node::waiting_calls::waiter> waiter;
    time_point until;
    {
        const std::scoped_lock lock(mutex_);
        const auto now = host_clock().now();
        const auto decision = queue_.arrive(call, now);
        log_pressure(now);
        waiting_.deliver(decision.outcomes);
        if (const auto* rejection = std::get_if<refused>(&decision.verdict))
        {
            co_return *rejection;
        }
        if (std::holds_alternative<admitted>(decision.verdict))
        {
            co_return admitted();
        }
        waiter = waiting_.add(call.ticket, executor);
        until = next_event();
    }
    auto verdict = co_await node::waiting_calls::wait(waiter, until);
    while (!verdict)
    {
        {
            const std::scoped_lock lock(mutex_);
            waiting_.deliver(queue_.tick(host_clock().now()));
            until = next_event();
        }
        verdict = co_await node::waiting_calls::wait(waiter, until);
    }
    co_return *verdict;
}

void slot_gate::log_pressure(time_point now)
{
    const auto queue_state = queue_.state();
    const bool is_congested =
        queue_state.waiting > 0 || queue_state.shed_level > 0;
    if (!is_congested || now < next_log_)
    {
        return;
    }
    next_log_ = now + log_interval;
    using milliseconds = std::chrono::duration<double, std::milli>;
    log_event(
        event::upstream_pressed,
        {{"slots", std::uint64_t{queue_state.slots}},
         {"running", std::uint64_t{queue_state.running}},
         {"waiting", std::uint64_t{queue_state.waiting}},
         {"demand", queue_state.demand},
         {"level", queue_state.shed_level},
         {"hold_ms", milliseconds(queue_state.slot_time).count()}});
}

time_point slot_gate::next_event() const
{
    const auto soonest = host_clock().now() + min_wait;
    return std::max(queue_.next_event().value_or(soonest), soonest);
}

void slot_gate::finish(ticket_id ticket, call_result result)
{
    const std::scoped_lock lock(mutex_);
    waiting_.deliver(queue_.finish(ticket, result, host_clock().now()));
}

void slot_gate::cancel(ticket_id ticket)
{
    const std::scoped_lock lock(mutex_);
    if (waiting_.withdraw(ticket))
    {
        waiting_.deliver(queue_.cancel(ticket, host_clock().now()));
    }
}

void slot_gate::set_slots(std::size_t slots)
{
    const std::scoped_lock lock(mutex_);
    waiting_.deliver(queue_.set_slots(slots, host_clock().now()));
}

void slot_gate::restart()
{
    const std::scoped_lock lock(mutex_);
    waiting_.deliver(queue_.restart(host_clock().now()));
}

void slot_gate::note_sub_call()
{
    const std::scoped_lock lock(mutex_);
    queue_.note_sub_call(host_clock().now());
}

void slot_gate::set_leaving(bool leaving)
{
    const std::scoped_lock lock(mutex_);
    waiting_.deliver(queue_.set_leaving(leaving, host_clock().now()));
}

slot_queue_state slot_gate::state() const
{
    const std::scoped_lock lock(mutex_);
    return queue_.state();
}

} // namespace nutmegusher::routed
