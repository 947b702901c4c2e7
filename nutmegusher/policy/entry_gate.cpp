#include "nutmegusher/policy/entry_gate.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace nutmegusher
{

namespace
{

// The saturated service has to be offered slightly more than it can take to
// stay fully used: refusals below this share don't cut the limit.
constexpr double overload_margin = 0.1;
// One interval's levels cut the passing rate by at most three quarters.
constexpr double min_cut_factor = 0.25;
// The minimum share of the offered requests that passes, so that new levels
// arrive even while everything else is refused.
constexpr double min_open_share = 0.05;
// Reopening: the limit grows by half after the first interval without a
// refusal; the step doubles up to four times the limit. From the minimum share
// to open takes five intervals, half of the second in which service has to
// recover.
constexpr double first_step = 0.5;
constexpr double max_step = 4.0;
constexpr std::uint32_t max_doublings = 4;

constexpr double rate_weight = 0.5;
// A customer's rate is averaged over about three intervals; a rate of one
// request per interval or more isn't chance.
constexpr double customer_weight = 0.3;
constexpr double heavy_rate = 1.0;
bool heavy(double per_interval)
{
    return per_interval >= heavy_rate;
}

// Adds an interval's count to its moving average and resets the count.
void update_mean(double& mean, double& count, double weight)
{
    mean += (count - mean) * weight;
    count = 0;
}

// Customers below this rate per interval are no longer tracked.
constexpr double min_tracked_rate = 0.05;
// Bound on memory; customers beyond it are treated like those that aren't
// heavy.
constexpr std::size_t max_customers = 4096;
constexpr std::size_t max_classes = 4096;

} // namespace

std::optional<refused> entry_gate::check(const call_info& call, time_point now)
{
    if (classes_.size() >= max_classes && !classes_.contains(call.work_class))
    {
        return std::nullopt;
    }
    class_gate& gate = classes_[call.work_class];
    if (now >= gate.interval_end)
    {
        end_interval(gate, now);
    }
    gate.offered += 1;
    if (gate.customers.size() < max_customers ||
        gate.customers.contains(call.customer))
    {
        gate.customers[call.customer].this_interval += 1;
    }
    const double share = pass_share(gate, call.customer);
    if (request_fraction(call) < share)
    {
        gate.passed += 1;
        return std::nullopt;
    }
    const bool over_fair_share = share < open_share(gate);
    return refused{
        over_fair_share ? refusal_reason::fair_share : refusal_reason::overload,
        retry_after(gate, now)};
}

duration entry_gate::retry_after(class_gate& gate, time_point now)
{
    const double per_second =
        gate.passed_mean / std::chrono::duration<double>(interval).count();
    const duration wait = gate.retry_schedule.next(per_second, now);
    return std::max(wait, gate.retry_after);
}

double entry_gate::open_share(const class_gate& gate)
{
    if (gate.limit >= gate.offered_mean)
    {
        return 1.0;
    }
    return std::max(gate.limit / gate.offered_mean, min_open_share);
}

double entry_gate::pass_share(const class_gate& gate, std::uint64_t customer)
{
    if (open_share(gate) >= 1.0)
    {
        return 1.0;
    }
    const auto found = gate.customers.find(customer);
    if (found == gate.customers.end() || !heavy(found->second.per_interval))
    {
        return gate.light_share;
    }
    const double capped = gate.customer_cap / found->second.per_interval;
    return std::clamp(capped, min_open_share, 1.0);
}

void entry_gate::on_level(
    const call_info& call, const admission_level& level, time_point now)
{
    const auto found = classes_.find(call.work_class);
    if (found == classes_.end())
    {
        return;
    }
    class_gate& gate = found->second;
    const lane_level& lane = call.bulk ? level.bulk_lane : level.short_lane;
    gate.level_sum += std::clamp(pass_threshold(lane) - call.rank, 0.0, 1.0);
    ++gate.levels;
    if (level.retry_after.count() > 0)
    {
        gate.retry_after = level.retry_after;
    }
    if (now >= gate.interval_end)
    {
        end_interval(gate, now);
    }
}

void entry_gate::end_interval(class_gate& gate, time_point now)
{
    gate.interval_end = now + interval;
    count_customers(gate);
    std::erase_if(
        gate.customers,
        [](const auto& each)
        {
            return each.second.per_interval < min_tracked_rate;
        });
    update_mean(gate.offered_mean, gate.offered, rate_weight);
    update_mean(gate.passed_mean, gate.passed, rate_weight);
    adjust(gate);
    compute_shares(gate);
}

void entry_gate::count_customers(class_gate& gate)
{
    double light = gate.offered;
    for (auto& [customer, rate] : gate.customers)
    {
        const double count = rate.this_interval;
        update_mean(rate.per_interval, rate.this_interval, customer_weight);
        light -= heavy(rate.per_interval) ? count : 0;
    }
    update_mean(gate.light_mean, light, rate_weight);
}

void entry_gate::adjust(class_gate& gate)
{
    const double share =
        gate.levels == 0 ? 1.0
                         : gate.level_sum / static_cast<double>(gate.levels);
    gate.level_sum = 0;
    gate.levels = 0;
    if (std::exchange(gate.just_cut, false))
    {
        return;
    }
    if (share < 1.0 - overload_margin)
    {
        cut(gate, share);
    }
    else if (gate.limit < unlimited)
    {
        reopen(gate);
    }
}

void entry_gate::cut(class_gate& gate, double share)
{
    const double passing = std::min(gate.limit, gate.passed_mean);
    const double min_limit = gate.offered_mean * min_open_share;
    gate.limit = std::max(
        passing * std::max(share + overload_margin, min_cut_factor), min_limit);
    gate.quiet_intervals = 0;
    gate.just_cut = true;
}

void entry_gate::reopen(class_gate& gate)
{
    const std::uint32_t doublings =
        std::min(gate.quiet_intervals, max_doublings);
    const double step = std::min(first_step * (1U << doublings), max_step);
    ++gate.quiet_intervals;
    gate.limit *= 1.0 + step;
    if (gate.limit > gate.offered_mean * 2.0)
    {
        gate.limit = unlimited;
    }
}

void entry_gate::compute_shares(class_gate& gate)
{
    if (gate.limit >= gate.offered_mean)
    {
        return;
    }
    std::vector<double> rates;
    for (const auto& [customer, rate] : gate.customers)
    {
        if (heavy(rate.per_interval))
        {
            rates.push_back(rate.per_interval);
        }
    }
    // Customers that aren't heavy ask for less than any heavy one, so they are
    // served first.
    double left = gate.offered_mean * open_share(gate);
    const double light = gate.light_mean;
    gate.light_share =
        light > left ? std::max(left / light, min_open_share) : 1.0;
    left = std::max(left - light, 0.0);
    gate.customer_cap = heavy_rate * gate.light_share;
    std::sort(rates.begin(), rates.end());
    for (std::size_t index = 0; index < rates.size(); ++index)
    {
        const double fair = left / static_cast<double>(rates.size() - index);
        gate.customer_cap = std::max(fair, gate.customer_cap);
        if (rates[index] > fair)
        {
            break;
        }
        left -= rates[index];
    }
}

double entry_gate::open_share(std::uint64_t work_class) const
{
    const auto found = classes_.find(work_class);
    return found == classes_.end() ? 1.0 : open_share(found->second);
}

void sub_call_levels::on_sub_call_level(
    std::uint64_t work_class, const admission_level& level, time_point now)
{
    if (classes_.size() >= max_classes && !classes_.contains(work_class))
    {
        return;
    }
    reported_level& last = classes_[work_class];
    last.level = level;
    last.expires_at = now + lifetime;
}

admission_level
sub_call_levels::deeper_for(std::uint64_t work_class, time_point now) const
{
    const auto found = classes_.find(work_class);
    if (found == classes_.end() || now >= found->second.expires_at)
    {
        return {};
    }
    return found->second.level;
}

admission_level sub_call_levels::level_for(
    std::uint64_t work_class, const admission_level& own, time_point now) const
{
    return stricter(own, deeper_for(work_class, now));
}

} // namespace nutmegusher
