#include "nutmegusher/routed/routed_state.hpp"

#include <utility>

namespace nutmegusher::routed
{

retry_allowance&
retry_allowances::find(const service_name& service, bool is_sub_call)
{
    const double ratio = is_sub_call ? retry_allowance::ratio_of_sub_calls
                                     : retry_allowance::ratio_of_requests;
    auto& all = is_sub_call ? sub_call_allowances_ : request_allowances_;
    return all.try_emplace(service, ratio).first->second;
}

void retry_allowances::on_call(const service_name& service, bool is_sub_call)
{
    const std::scoped_lock lock(mutex_);
    find(service, is_sub_call).on_call();
}

bool retry_allowances::take(const service_name& service, bool is_sub_call)
{
    const std::scoped_lock lock(mutex_);
    return find(service, is_sub_call).take();
}

void call_path_levels::record(
    std::uint64_t route, std::span<const shed_level> levels)
{
    const auto now = host_clock().now();
    const std::scoped_lock lock(mutex_);
    for (const auto& each : levels)
    {
        by_route_.record(route, each, now);
    }
}

void call_path_levels::record_sub_call(
    const service_name& called, std::span<const shed_level> levels)
{
    const auto now = host_clock().now();
    const std::scoped_lock lock(mutex_);
    called_services_.insert(called);
    for (const auto& each : levels)
    {
        by_called_service_.record(stable_hash(called.str()), each, now);
    }
}

double call_path_levels::level(std::uint64_t route, shed_cause cause) const
{
    const std::scoped_lock lock(mutex_);
    return by_route_.level(route, host_clock().now(), cause);
}

std::vector<shed_level>
call_path_levels::sub_call_levels(const service_name& called) const
{
    const std::scoped_lock lock(mutex_);
    return by_called_service_.levels(
        stable_hash(called.str()), host_clock().now());
}

std::vector<service_name> call_path_levels::called() const
{
    const std::scoped_lock lock(mutex_);
    return {called_services_.begin(), called_services_.end()};
}

double entry_shedding::share_of(
    std::uint8_t rank, std::uint64_t route, double shed_share)
{
    if (shed_share <= 0)
    {
        return 0;
    }
    const auto now = host_clock().now();
    const std::scoped_lock lock(mutex_);
    auto& order = orders_.at(rank);
    order.on_request(route, now);
    return order.share_of(route, shed_share, now);
}

void entry_shedding::on_answer(
    std::uint8_t rank, std::uint64_t route, duration elapsed)
{
    const std::scoped_lock lock(mutex_);
    orders_.at(rank).on_answer(route, elapsed);
}

duration
entry_shedding::usual_elapsed(std::uint8_t rank, std::uint64_t route) const
{
    const std::scoped_lock lock(mutex_);
    return orders_.at(rank).usual_elapsed(route);
}

bool entry_return_times::has_promises() const
{
    const std::scoped_lock lock(mutex_);
    return schedule_.promises() > 0;
}

bool entry_return_times::arrive(std::uint64_t key, std::uint8_t rank)
{
    const std::scoped_lock lock(mutex_);
    return schedule_.arrive(key, rank, host_clock().now());
}

double
entry_return_times::share_for_new(std::uint8_t rank, double shed_share) const
{
    const std::scoped_lock lock(mutex_);
    return schedule_.share_for_new(rank, shed_share, host_clock().now());
}

return_offer entry_return_times::refuse(
    std::uint64_t key, const refused_request& request, random_engine& engine)
{
    const std::scoped_lock lock(mutex_);
    return schedule_.refuse(key, request, host_clock().now(), engine);
}

double entry_paths::refused_share(std::uint8_t rank, double refused_of_all)
{
    if (refused_of_all <= 0)
    {
        return 0;
    }
    const std::scoped_lock lock(mutex_);
    shares_.on_request(rank, host_clock().now());
    return shares_.refused_share(rank, refused_of_all);
}

slow_start& entry_slow_start::window()
{
    if (!window_)
    {
        window_.emplace(host_clock().now());
    }
    return *window_;
}

void entry_slow_start::wait(std::uint8_t rank)
{
    const std::scoped_lock lock(mutex_);
    window().wait(rank);
}

void entry_slow_start::leave(std::uint8_t rank)
{
    const std::scoped_lock lock(mutex_);
    window().leave(rank);
}

bool entry_slow_start::enter(std::uint8_t rank)
{
    const std::scoped_lock lock(mutex_);
    return window().enter(rank, host_clock().now());
}

void entry_slow_start::on_answer(double level)
{
    const std::scoped_lock lock(mutex_);
    window().on_answer(level, host_clock().now());
}

void sub_call_routes::count(std::uint64_t route, const service_name& caller)
{
    const std::scoped_lock lock(mutex_);
    classifier_.record(route, caller);
}

bool sub_call_routes::is_counted_sub_call(std::uint64_t route) const
{
    const std::scoped_lock lock(mutex_);
    return classifier_.is_sub_call(route);
}

void sub_call_routes::on_report(std::uint64_t route, bool is_sub_call)
{
    const std::scoped_lock lock(mutex_);
    reported_[route] = is_sub_call;
}

bool sub_call_routes::is_reported_sub_call(std::uint64_t route) const
{
    const std::scoped_lock lock(mutex_);
    const auto found = reported_.find(route);
    return found != reported_.end() && found->second;
}

bool sub_call_routes::is_reported_external(std::uint64_t route) const
{
    const std::scoped_lock lock(mutex_);
    const auto found = reported_.find(route);
    return found != reported_.end() && !found->second;
}

void upstream_errors::on_answer(const data_center_name& from, bool error)
{
    const std::scoped_lock lock(mutex_);
    meter_.on_answer(from, error, host_clock().now());
}

void upstream_errors::on_failed_call()
{
    const std::scoped_lock lock(mutex_);
    meter_.on_failed_call(host_clock().now());
}

void upstream_errors::reset()
{
    const std::scoped_lock lock(mutex_);
    meter_ = error_meter();
}

double upstream_errors::share(const data_center_name& from) const
{
    const std::scoped_lock lock(mutex_);
    return meter_.share(from, host_clock().now());
}

bool upstream_reports::record(std::string_view field)
{
    const auto load = parse_reported_load(field);
    const std::scoped_lock lock(mutex_);
    if (load)
    {
        last_.record(*load, host_clock().now());
    }
    else
    {
        ++malformed_;
    }
    return load.has_value();
}

void upstream_reports::reset()
{
    const std::scoped_lock lock(mutex_);
    last_.reset();
}

std::uint32_t upstream_reports::pace() const
{
    const std::scoped_lock lock(mutex_);
    return last_.pace(host_clock().now());
}

std::optional<reported_load> upstream_reports::load() const
{
    const std::scoped_lock lock(mutex_);
    return last_.load(host_clock().now());
}

std::uint64_t upstream_reports::malformed() const
{
    const std::scoped_lock lock(mutex_);
    return malformed_;
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

void routed_state::mark_unreachable(const std::string& id)
{
    if (local.mark_unreachable(id))
    {
        upstream_changed();
    }
}

} // namespace nutmegusher::routed
