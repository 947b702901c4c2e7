#include "nutmegusher/routed/rejected_call_repeats.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace nutmegusher::routed
{

namespace
{

constexpr duration log_interval = std::chrono::seconds(1);
// How long a share is reported after the last repeat was denied: a share of 0
// ends an earlier one at the entries sooner than its age would.
constexpr duration level_retention = std::chrono::seconds(3);

} // namespace

void rejected_call_repeats::on_load(const upstream_load& load)
{
    if (load.pace > 0)
    {
        enabled_.store(true, std::memory_order_relaxed);
    }
}

bool rejected_call_repeats::enabled() const
{
    return enabled_.load(std::memory_order_relaxed);
}

rejected_call_repeats::called_service&
rejected_call_repeats::find(const service_name& service, bool is_sub_call)
{
    const double ratio = is_sub_call ? repeat_window::ratio_of_sub_calls
                                     : repeat_window::ratio_of_requests;
    auto& all = is_sub_call ? by_sub_calls_ : by_requests_;
    return all.try_emplace(service, ratio).first->second;
}

void rejected_call_repeats::on_call(
    const service_name& service, bool is_sub_call)
{
    if (!enabled())
    {
        return;
    }
    const auto now = host_clock().now();
    const std::scoped_lock lock(mutex_);
    find(service, is_sub_call).window.on_call(now);
}

double rejected_call_repeats::refused_share(
    const called_service& of, time_point now) const
{
    const double ratio =
        repeat_window::ratio_of_sub_calls - inherited_.value(now);
    return of.control.refused_share(ratio, now);
}

bool rejected_call_repeats::on_rejection(
    const service_name& service, bool is_sub_call)
{
    if (!enabled())
    {
        return false;
    }
    const auto now = host_clock().now();
    const std::scoped_lock lock(mutex_);
    auto& called = find(service, is_sub_call);
    called.control.on_attempt(true, now);
    const double inherited = is_sub_call ? inherited_.value(now) : 0;
    const bool allowed = called.window.take(inherited, now);
    called.control.on_repeat(allowed, now);
    if (allowed)
    {
        ++called.allowed;
        return true;
    }
    ++called.denied;
    called.denied_at = now;
    log_denied(service, called, now);
    return false;
}

void rejected_call_repeats::on_pass(
    const service_name& service, bool is_sub_call)
{
    if (enabled())
    {
        const std::scoped_lock lock(mutex_);
        find(service, is_sub_call)
            .control.on_attempt(false, host_clock().now());
    }
}

void rejected_call_repeats::log_denied(
    const service_name& service, called_service& of, time_point now)
{
    if (now < of.next_log)
    {
        return;
    }
    of.next_log = now + log_interval;
    log_event(
        event::repeats_exhausted,
        {{"service", service.str()},
         {"allowed", of.allowed},
         {"denied", of.denied},
         {"rejected", of.control.rejected_share(now)},
         {"refused", refused_share(of, now)}});
}

void rejected_call_repeats::on_run(bool is_repeat)
{
    if (enabled())
    {
        const std::scoped_lock lock(mutex_);
        inherited_.on_run(is_repeat, host_clock().now());
    }
}

double rejected_call_repeats::inherited_share() const
{
    if (!enabled())
    {
        return 0;
    }
    const std::scoped_lock lock(mutex_);
    return inherited_.value(host_clock().now());
}

void rejected_call_repeats::on_sub_call(bool failed)
{
    if (enabled())
    {
        const std::scoped_lock lock(mutex_);
        dependence_.on_sub_call(failed, host_clock().now());
    }
}

void rejected_call_repeats::on_answer(std::uint64_t work_class, bool is_error)
{
    if (enabled())
    {
        const std::scoped_lock lock(mutex_);
        dependence_.on_answer(work_class, is_error, host_clock().now());
    }
}

void rejected_call_repeats::reset_upstream()
{
    const std::scoped_lock lock(mutex_);
    dependence_.reset();
}

bool rejected_call_repeats::depends(std::uint64_t work_class) const
{
    const std::scoped_lock lock(mutex_);
    return dependence_.depends(work_class);
}

std::vector<shed_level> rejected_call_repeats::levels() const
{
    std::vector<shed_level> all;
    if (!enabled())
    {
        return all;
    }
    const auto now = host_clock().now();
    const std::scoped_lock lock(mutex_);
    for (const auto& [service, called] : by_sub_calls_)
    {
        if (called.denied > 0 && now - called.denied_at < level_retention)
        {
            all.push_back(
                {service, refused_share(called, now), shed_cause::repeats});
        }
    }
    return all;
}

boost::json::value rejected_call_repeats::dump()
{
    boost::json::array all;
    const auto now = host_clock().now();
    const std::scoped_lock lock(mutex_);
    const auto add = [&](called_services& services, bool is_sub_call)
    {
        for (auto& [service, called] : services)
        {
            const double inherited = is_sub_call ? inherited_.value(now) : 0;
            all.push_back(boost::json::object{
                {"service", service.str()},
                {"sub_calls", is_sub_call},
                {"allowed_per_second",
                 called.window.allowed_rate(inherited, now)},
                {"inherited", inherited},
                {"allowed", called.allowed},
                {"denied", called.denied},
                {"rejected", called.control.rejected_share(now)},
                {"refused", is_sub_call ? refused_share(called, now) : 0}});
        }
    };
    add(by_requests_, false);
    add(by_sub_calls_, true);
    return all;
}

} // namespace nutmegusher::routed
