#include "nutmegusher/policy/entry_gate.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace nutmegusher
{

namespace
{

// The saturated service has to see a little more than it can take, or it
// would not be filled: refusals below this share change nothing.
constexpr double surplus = 0.05;
// One interval's levels never close more than three quarters of what is open.
constexpr double deepest_cut = 0.25;
// The trickle that brings news while all is refused: of what is offered.
constexpr double least_open = 0.02;
// Reopening: a quarter more after the first quiet interval, which costs few
// refusals where the pressure is still on; the step doubles, up to a doubling
// of the whole. From the trickle to open takes seven intervals.
constexpr double first_step = 0.25;
constexpr double largest_step = 1.0;
constexpr std::uint32_t most_doublings = 4;

constexpr double rate_weight = 0.5;
// A customer that sends less than this an interval is forgotten.
constexpr double forgotten_rate = 0.05;
// Bounds memory; customers beyond it are let in as unknown ones.
constexpr std::size_t most_customers = 4096;
constexpr std::size_t most_classes = 4096;

} // namespace

std::optional<refused> entry_gate::check(const call_facts& call, time_point now)
{
    if (classes_.size() >= most_classes && !classes_.contains(call.work_class))
    {
        return std::nullopt;
    }
    class_gate& gate = classes_[call.work_class];
    if (now >= gate.interval_end)
    {
        end_interval(gate, now);
    }
    gate.offered += 1;
    if (gate.customers.size() < most_customers ||
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
    const bool greedy = share < open_share(gate);
    return refused{
        greedy ? refusal_reason::fair_share : refusal_reason::overload,
        gate.come_back};
}

double entry_gate::open_share(const class_gate& gate)
{
    if (gate.limit >= gate.offered_mean)
    {
        return 1.0;
    }
    return std::max(gate.limit / gate.offered_mean, least_open);
}

double entry_gate::pass_share(const class_gate& gate, std::uint64_t customer)
{
    const double open = open_share(gate);
    const auto found = gate.customers.find(customer);
    if (open >= 1.0 || found == gate.customers.end() ||
        found->second.per_interval <= 0)
    {
        return open;
    }
    const double capped = gate.customer_cap / found->second.per_interval;
    return std::clamp(capped, least_open, 1.0);
}

void entry_gate::on_level(
    const call_facts& call, const admission_level& level, time_point now)
{
    const auto found = classes_.find(call.work_class);
    if (found == classes_.end())
    {
        return;
    }
    class_gate& gate = found->second;
    const lane_level& lane = call.bulk ? level.bulk_lane : level.short_lane;
    gate.level_sum += std::clamp(pass_below(lane) - call.rank, 0.0, 1.0);
    ++gate.levels;
    if (level.come_back_after.count() > 0)
    {
        gate.come_back = level.come_back_after;
    }
    if (now >= gate.interval_end)
    {
        end_interval(gate, now);
    }
}

void entry_gate::end_interval(class_gate& gate, time_point now)
{
    gate.interval_end = now + interval;
    const auto turn = [](double& mean, double& count)
    {
        mean += (count - mean) * rate_weight;
        count = 0;
    };
    for (auto& [customer, rate] : gate.customers)
    {
        turn(rate.per_interval, rate.this_interval);
    }
    std::erase_if(
        gate.customers,
        [](const auto& each)
        {
            return each.second.per_interval < forgotten_rate;
        });
    turn(gate.offered_mean, gate.offered);
    turn(gate.passed_mean, gate.passed);
    adjust(gate);
    share_out(gate);
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
    if (share < 1.0 - surplus)
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
    const double least = gate.offered_mean * least_open;
    gate.limit = std::max(passing * std::max(share, deepest_cut), least);
    gate.quiet = 0;
    gate.just_cut = true;
}

void entry_gate::reopen(class_gate& gate)
{
    const std::uint32_t doublings = std::min(gate.quiet, most_doublings);
    const double step = std::min(first_step * (1U << doublings), largest_step);
    ++gate.quiet;
    gate.limit *= 1.0 + step;
    if (gate.limit > gate.offered_mean * 2.0)
    {
        gate.limit = unlimited;
    }
}

void entry_gate::share_out(class_gate& gate)
{
    if (gate.limit >= gate.offered_mean)
    {
        return;
    }
    std::vector<double> rates;
    rates.reserve(gate.customers.size());
    double offered = 0;
    for (const auto& [customer, rate] : gate.customers)
    {
        rates.push_back(rate.per_interval);
        offered += rate.per_interval;
    }
    std::sort(rates.begin(), rates.end());
    double left = offered * open_share(gate);
    for (std::size_t index = 0; index < rates.size(); ++index)
    {
        gate.customer_cap = left / static_cast<double>(rates.size() - index);
        if (rates[index] > gate.customer_cap)
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

void chain_levels::on_sub_call_level(
    std::uint64_t work_class, const admission_level& level, time_point now)
{
    if (classes_.size() >= most_classes && !classes_.contains(work_class))
    {
        return;
    }
    heard& last = classes_[work_class];
    last.level = level;
    last.until = now + lifetime;
}

admission_level chain_levels::level_for(
    std::uint64_t work_class, const admission_level& own, time_point now) const
{
    const auto found = classes_.find(work_class);
    if (found == classes_.end() || now >= found->second.until)
    {
        return own;
    }
    return stricter(own, found->second.level);
}

} // namespace nutmegusher
