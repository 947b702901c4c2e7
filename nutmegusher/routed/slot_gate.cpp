#include "nutmegusher/routed/slot_gate.hpp"

#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <memory>

namespace nutmegusher::routed
{

namespace
{

// Shortest wait between two checks of a waiting call: its timer may fire
// slightly before the queue finds the call hopeless.
constexpr duration min_wait = std::chrono::milliseconds(2);

// Shortest time between two looks for calls that the rate limit has room for.
constexpr duration min_limited_wait = std::chrono::milliseconds(5);

// In percent: a host counts as slow from here.
constexpr std::uint32_t slow_pace = 150;

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
        executor_ = executor;
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
        start_limited_admission();
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

void slot_gate::set_pace(std::uint32_t percent)
{
    if (percent == 0)
    {
        return;
    }
    const auto now = host_clock().now();
    const std::scoped_lock lock(mutex_);
    queue_.set_pace(percent, now);
    const bool is_slow = percent >= slow_pace;
    const bool was_slow = logged_pace_ >= slow_pace;
    if (is_slow != was_slow && now - pace_logged_at_ >= log_interval)
    {
        logged_pace_ = percent;
        pace_logged_at_ = now;
        log_event(event::upstream_pace, {{"pace", std::uint64_t{percent}}});
    }
}

void slot_gate::log_pressure(time_point now)
{
    const auto queue_state = queue_.state();
    const bool is_congested =
        queue_state.waiting > 0 || queue_state.shed_level > 0 ||
        queue_state.refused_by_estimate > logged_refusals_;
    if (!is_congested || now < next_log_)
    {
        return;
    }
    next_log_ = now + log_interval;
    const auto refused_by_estimate =
        queue_state.refused_by_estimate - logged_refusals_;
    logged_refusals_ = queue_state.refused_by_estimate;
    using milliseconds = std::chrono::duration<double, std::milli>;
    log_event(
        event::upstream_pressed,
        {{"slots", std::uint64_t{queue_state.slots}},
         {"running", std::uint64_t{queue_state.running}},
         {"waiting", std::uint64_t{queue_state.waiting}},
         {"demand", queue_state.demand},
         {"level", queue_state.shed_level},
         {"hold_ms", milliseconds(queue_state.slot_time).count()},
         {"longest_hold_ms", milliseconds(queue_.longest_slot_time()).count()},
         {"refused_by_estimate", refused_by_estimate}});
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

void slot_gate::set_rate_limit(
    std::optional<double> calls_per_second, time_point sent_at)
{
    const std::scoped_lock lock(mutex_);
    const bool may_end = !has_answered_ || sent_at >= limited_since_;
    has_answered_ = true;
    if (calls_per_second || may_end)
    {
        apply_rate_limit(calls_per_second);
    }
}

void slot_gate::suggest_rate_limit(double calls_per_second)
{
    const std::scoped_lock lock(mutex_);
    if (!has_answered_)
    {
        apply_rate_limit(calls_per_second);
    }
}

// Requires: the lock is held.
void slot_gate::apply_rate_limit(std::optional<double> calls_per_second)
{
    if (calls_per_second == rate_limit_)
    {
        return;
    }
    const auto now = host_clock().now();
    if (!rate_limit_)
    {
        limited_since_ = now;
    }
    rate_limit_ = calls_per_second;
    log_event(
        event::upstream_limited,
        {{"limited", rate_limit_.has_value()},
         {"calls_per_second", rate_limit_.value_or(0)}});
    waiting_.deliver(queue_.set_rate_limit(rate_limit_, now));
    start_limited_admission();
}

// Requires: the lock is held.
void slot_gate::start_limited_admission()
{
    if (admits_by_rate_ || !queue_.next_limited_start())
    {
        return;
    }
    admits_by_rate_ = true;
    // Posted, as a coroutine may run at once, and would take the lock.
    asio::post(
        executor_,
        [this, executor = executor_]
        {
            asio::co_spawn(executor, admit_by_rate(executor), asio::detached);
        });
}

// Starts waiting calls as the rate limit has room for them, until none waits.
asio::awaitable<void> slot_gate::admit_by_rate(asio::any_io_executor executor)
{
    asio::steady_timer timer(executor);
    while (true)
    {
        {
            const std::scoped_lock lock(mutex_);
            const auto now = host_clock().now();
            waiting_.deliver(queue_.tick(now));
            const auto next = queue_.next_limited_start();
            if (!next)
            {
                admits_by_rate_ = false;
                co_return;
            }
            // All slots may be in use.
            timer.expires_at(std::max(*next, now + min_limited_wait));
        }
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void slot_gate::restart()
{
    const std::scoped_lock lock(mutex_);
    has_answered_ = false;
    rate_limit_.reset();
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
