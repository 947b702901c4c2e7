#include "nutmegusher/policy/call_attribution.hpp"

#include <cmath>

namespace nutmegusher
{

namespace
{

// A route of which nothing is known yet takes its part of the first sub-calls:
// as if it had made one in this many running seconds.
constexpr double prior_calls = 1.0;
constexpr double prior_seconds = 0.2;

} // namespace

void call_attribution::advance(time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - at_).count();
    at_ = now;
    // The first call ever, or clocks that differ between threads.
    if (elapsed <= 0 || elapsed > 3600)
    {
        return;
    }
    const double kept =
        std::exp2(-elapsed / std::chrono::duration<double>(half_life).count());
    for (auto& [route, counts] : routes_)
    {
        counts.exposure = counts.exposure * kept +
                          static_cast<double>(counts.running) * elapsed;
        counts.starts *= kept;
        for (auto& [service, calls] : counts.calls)
        {
            calls *= kept;
        }
    }
    for (auto& [service, calls] : sub_calls_)
    {
        calls *= kept;
    }
}

double
call_attribution::rate(const route_counts& of, const service_name& called)
{
    const auto found = of.calls.find(called);
    const double calls = found == of.calls.end() ? 0.0 : found->second;
    return (calls + prior_calls) / (of.exposure + prior_seconds);
}

void call_attribution::on_start(std::uint64_t route, time_point now)
{
    advance(now);
    auto& counts = routes_[route];
    ++counts.running;
    counts.starts += 1;
}

void call_attribution::on_end(std::uint64_t route, time_point now)
{
    advance(now);
    const auto found = routes_.find(route);
    if (found != routes_.end() && found->second.running > 0)
    {
        --found->second.running;
    }
}

void call_attribution::on_sub_call(const service_name& called, time_point now)
{
    advance(now);
    sub_calls_[called] += 1;
    double sum = 0;
    for (const auto& [route, counts] : routes_)
    {
        sum += static_cast<double>(counts.running) * rate(counts, called);
    }
    if (sum <= 0)
    {
        return;
    }
    for (auto& [route, counts] : routes_)
    {
        const double part =
            static_cast<double>(counts.running) * rate(counts, called) / sum;
        if (part > 0)
        {
            counts.calls[called] += part;
        }
    }
}

bool call_attribution::leads_to(
    std::uint64_t route, const service_name& called) const
{
    const auto found = routes_.find(route);
    const auto seen = sub_calls_.find(called);
    if (found == routes_.end() || found->second.starts < least_seen ||
        seen == sub_calls_.end() || seen->second < least_seen)
    {
        return true;
    }
    const auto calls = found->second.calls.find(called);
    const double shared = calls == found->second.calls.end() ? 0 : calls->second;
    return shared >= found->second.starts * least_calls;
}

} // namespace nutmegusher
