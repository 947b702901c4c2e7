#include "nutmegusher/routed/slot_gate.hpp"

#include "nutmegusher/wire/wire.hpp"

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

// Withdraws a call that is destroyed before it has taken its verdict.
class slot_gate::pending_entry
{
public:
    pending_entry(slot_gate& gate, ticket_id ticket)
        : gate_(gate)
        , ticket_(ticket)
    {
    }

    ~pending_entry()
    {
        if (!decided_)
        {
            gate_.withdraw(ticket_);
        }
    }

    pending_entry(const pending_entry&) = delete;
    pending_entry& operator=(const pending_entry&) = delete;

    void set_decided()
    {
        decided_ = true;
    }

private:
    slot_gate& gate_;
    ticket_id ticket_;
    bool decided_ = false;
};

asio::awaitable<slot_verdict> slot_gate::enter(call_info call)
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
    pending_entry entry(*this, call.ticket);
    auto verdict = co_await node::waiting_calls::wait(waiter, until);
    while (!verdict)
    {
        co_await wire::interruption_point();
        {
            const std::scoped_lock lock(mutex_);
            waiting_.deliver(queue_.tick(host_clock().now()));
            until = next_event();
        }
        verdict = co_await node::waiting_calls::wait(waiter, until);
    }
    entry.set_decided();
    if (const auto* rejection = std::get_if<refused>(&*verdict))
    {
        co_return *rejection;
    }
    co_return admitted();
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

void slot_gate::withdraw(ticket_id ticket)
{
    const std::scoped_lock lock(mutex_);
    const auto now = host_clock().now();
    const bool is_waiting = waiting_.withdraw(ticket);
    // A call that was admitted in the meantime holds a slot.
    waiting_.deliver(
        is_waiting ? queue_.cancel(ticket, now)
                   : queue_.finish(ticket, call_result::never_started, now));
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
