#include "nutmegusher/node/admission_gate.hpp"

#include <boost/asio/this_coro.hpp>

#include <memory>

namespace nutmegusher::node
{

namespace
{

// The timer ticks at least every 20 ms. A gap longer than this limit means that
// this process was paused; shorter gaps are normal scheduling delay, as they
// are when a stall of the upstream is detected.
constexpr duration max_tick_gap = std::chrono::milliseconds(50);

} // namespace

admission_gate::admission_gate(std::uint64_t seed, bool naive)
    : naive_(naive)
    , controller_(seed)
{
}

admission_gate::~admission_gate() = default;

ticket_id admission_gate::next_ticket()
{
    const std::scoped_lock lock(mutex_);
    return ticket_id(++last_ticket_);
}

asio::awaitable<gate_verdict> admission_gate::enter(call_info call)
{
    if (naive_)
    {
        co_return admitted();
    }
    auto executor = co_await asio::this_coro::executor;
    std::shared_ptr<waiting_calls::waiter> own_waiter;
    {
        const std::scoped_lock lock(mutex_);
        const auto now = host_clock().now();
        detect_pause(now);
        const auto arrival = controller_.arrive(call, now);
        waiting_.deliver(arrival.outcomes);
        if (const auto* rejection = std::get_if<refused>(&arrival.verdict))
        {
            co_return *rejection;
        }
        if (std::holds_alternative<admitted>(arrival.verdict))
        {
            record_running(call);
            co_return admitted();
        }
        own_waiter = waiting_.add(call.ticket, executor);
    }
    const auto verdict = co_await waiting_calls::wait(own_waiter);
    if (std::holds_alternative<admitted>(*verdict))
    {
        const std::scoped_lock lock(mutex_);
        record_running(call);
    }
    co_return *verdict;
}

// After a pause, requests that queued up in the sockets are handled before the
// next timer tick, so every event checks for a pause itself.
void admission_gate::detect_pause(time_point now)
{
    if (last_tick_ && now - *last_tick_ > max_tick_gap)
    {
        controller_.on_pause(now);
        last_tick_ = now;
    }
}

void admission_gate::record_running(const call_info& call)
{
    running_[call.request] = {call.ticket, false};
}

void admission_gate::sub_call_started(std::uint64_t request)
{
    const std::scoped_lock lock(mutex_);
    const auto found = running_.find(request);
    if (found != running_.end())
    {
        controller_.sub_call_started(found->second.ticket, host_clock().now());
    }
}

void admission_gate::sub_call_ended(
    std::uint64_t request, bool refused_for_load)
{
    const std::scoped_lock lock(mutex_);
    const auto found = running_.find(request);
    if (found != running_.end())
    {
        found->second.sub_call_refused |= refused_for_load;
        controller_.sub_call_ended(found->second.ticket, host_clock().now());
    }
}

bool admission_gate::sub_call_refused(std::uint64_t request) const
{
    const std::scoped_lock lock(mutex_);
    const auto found = running_.find(request);
    return found != running_.end() && found->second.sub_call_refused;
}

void admission_gate::finish(const call_info& call, call_result result)
{
    if (naive_)
    {
        return;
    }
    const std::scoped_lock lock(mutex_);
    const auto found = running_.find(call.request);
    if (found != running_.end() && found->second.ticket == call.ticket)
    {
        running_.erase(found);
    }
    const auto now = host_clock().now();
    detect_pause(now);
    waiting_.deliver(controller_.finish(call.ticket, result, now));
}

void admission_gate::cancel(ticket_id ticket)
{
    const std::scoped_lock lock(mutex_);
    if (waiting_.withdraw(ticket))
    {
        waiting_.deliver(controller_.cancel(ticket, host_clock().now()));
    }
}

void admission_gate::tick()
{
    const std::scoped_lock lock(mutex_);
    const auto now = host_clock().now();
    detect_pause(now);
    last_tick_ = now;
    const auto due = controller_.next_event();
    if (due && *due <= now)
    {
        waiting_.deliver(controller_.tick(now));
    }
}

void admission_gate::begin_warm_up()
{
    const std::scoped_lock lock(mutex_);
    controller_.begin_warm_up(host_clock().now());
}

void admission_gate::set_leaving(bool leaving)
{
    const std::scoped_lock lock(mutex_);
    waiting_.deliver(controller_.set_leaving(leaving, host_clock().now()));
}

admission_level admission_gate::level() const
{
    const std::scoped_lock lock(mutex_);
    return controller_.level(host_clock().now());
}

admission_state admission_gate::state() const
{
    const std::scoped_lock lock(mutex_);
    return controller_.state();
}

} // namespace nutmegusher::node
