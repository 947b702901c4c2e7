#include "nutmegusher/routed/routed_state.hpp"

#include <utility>

namespace nutmegusher::routed
{

retry_allowance&
repeat_allowances::find(const service_name& service, bool is_sub_call)
{
    const double ratio = is_sub_call ? retry_allowance::ratio_of_sub_calls
                                     : retry_allowance::ratio_of_requests;
    auto& all = is_sub_call ? of_sub_calls_ : of_requests_;
    return all.try_emplace(service, ratio).first->second;
}

void repeat_allowances::on_call(const service_name& service, bool is_sub_call)
{
    const std::scoped_lock lock(mutex_);
    find(service, is_sub_call).on_call();
}

bool repeat_allowances::take(const service_name& service, bool is_sub_call)
{
    const std::scoped_lock lock(mutex_);
    return find(service, is_sub_call).take();
}

void way_ahead::hear(std::uint64_t route, std::span<const shed_level> levels)
{
    const auto now = host_clock().now();
    const std::scoped_lock lock(mutex_);
    for (const auto& each : levels)
    {
        requests_.record(route, each, now);
    }
}

void way_ahead::hear_below(
    const service_name& called, std::span<const shed_level> levels)
{
    const auto now = host_clock().now();
    const std::scoped_lock lock(mutex_);
    called_.insert(called);
    for (const auto& each : levels)
    {
        sub_calls_.record(stable_hash(called.str()), each, now);
    }
}

double way_ahead::level(std::uint64_t route) const
{
    const std::scoped_lock lock(mutex_);
    return requests_.level(route, host_clock().now());
}

std::vector<shed_level> way_ahead::below(const service_name& called) const
{
    const std::scoped_lock lock(mutex_);
    return sub_calls_.levels(stable_hash(called.str()), host_clock().now());
}

std::vector<service_name> way_ahead::called() const
{
    const std::scoped_lock lock(mutex_);
    return {called_.begin(), called_.end()};
}

bool turned_away::decide(
    std::uint8_t rank, std::uint64_t route, double part, double fraction)
{
    if (part <= 0)
    {
        return false;
    }
    const auto now = host_clock().now();
    const std::scoped_lock lock(mutex_);
    auto& order = orders_.at(rank);
    order.on_request(route, now);
    return order.share_of(route, part, now) > fraction;
}

void turned_away::on_answer(
    std::uint8_t rank, std::uint64_t route, duration elapsed)
{
    const std::scoped_lock lock(mutex_);
    orders_.at(rank).on_answer(route, elapsed);
}

slow_start& entry_opening::window()
{
    if (!window_)
    {
        window_.emplace(host_clock().now());
    }
    return *window_;
}

void entry_opening::wait(std::uint8_t rank)
{
    const std::scoped_lock lock(mutex_);
    window().wait(rank);
}

void entry_opening::leave(std::uint8_t rank)
{
    const std::scoped_lock lock(mutex_);
    window().leave(rank);
}

bool entry_opening::enter(std::uint8_t rank)
{
    const std::scoped_lock lock(mutex_);
    return window().enter(rank, host_clock().now());
}

void entry_opening::on_answer(double level)
{
    const std::scoped_lock lock(mutex_);
    window().on_answer(level, host_clock().now());
}

void sub_call_routes::count(std::uint64_t route, const service_name& caller)
{
    const std::scoped_lock lock(mutex_);
    census_.record(route, caller);
}

bool sub_call_routes::is_counted(std::uint64_t route) const
{
    const std::scoped_lock lock(mutex_);
    return census_.is_sub_call(route);
}

void sub_call_routes::learn(std::uint64_t route, bool is_sub_call)
{
    const std::scoped_lock lock(mutex_);
    told_[route] = is_sub_call;
}

bool sub_call_routes::is_known(std::uint64_t route) const
{
    const std::scoped_lock lock(mutex_);
    const auto found = told_.find(route);
    return found != told_.end() && found->second;
}

bool sub_call_routes::is_ruled_out(std::uint64_t route) const
{
    const std::scoped_lock lock(mutex_);
    const auto found = told_.find(route);
    return found != told_.end() && !found->second;
}

void own_errors::on_answer(const data_center_name& from, bool error)
{
    const std::scoped_lock lock(mutex_);
    meter_.on_answer(from, error, host_clock().now());
}

void own_errors::on_failed_call()
{
    const std::scoped_lock lock(mutex_);
    meter_.on_failed_call(host_clock().now());
}

void own_errors::forget()
{
    const std::scoped_lock lock(mutex_);
    meter_ = error_meter();
}

double own_errors::share(const data_center_name& from) const
{
    const std::scoped_lock lock(mutex_);
    return meter_.share(from, host_clock().now());
}

routed_state::routed_state(
    node::controllers& process,
    request_dialect names,
    std::function<void()> upstream_changed)
    : process(process)
    , names(std::move(names))
    , slots(stable_hash(process.configured.host.id.str(), process.run.value()))
    , upstream_changed(std::move(upstream_changed))
{
}

void routed_state::note_unreachable(const std::string& id)
{
    if (local.unreachable(id))
    {
        upstream_changed();
    }
}

} // namespace nutmegusher::routed
