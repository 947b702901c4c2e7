#include "nutmegusher/policy/entry_gate.hpp"

#include <algorithm>
#include <vector>

namespace nutmegusher
{

namespace
{

// The saturated service has to see a little more than it can take, or it
// would not be filled.
constexpr double surplus = 0.05;
// One interval's levels never close more than half of what is open.
constexpr double deepest_cut = 0.5;
// The trickle that brings news while all is refused.
constexpr double least_open = 0.01;
// The first step of reopening; it doubles with each quiet interval.
constexpr double first_step = 0.05;

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
    if (gate.customers.size() < most_customers ||
        gate.customers.contains(call.customer))
    {
        gate.customers[call.customer].this_interval += 1;
    }
    if (gate.open >= 1.0)
    {
        return std::nullopt;
    }
    const double share = pass_share(gate, call.customer);
    if (request_fraction(call) < share)
    {
        return std::nullopt;
    }
    const bool greedy = share < gate.open;
    return refused{
        greedy ? refusal_reason::fair_share : refusal_reason::overload,
        gate.come_back};
}

double entry_gate::pass_share(const class_gate& gate, std::uint64_t customer)
{
    const auto found = gate.customers.find(customer);
    if (found == gate.customers.end() || found->second.per_interval <= 0)
    {
        return gate.open;
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
    gate.passed_sum += std::clamp(pass_below(lane) - call.rank, 0.0, 1.0);
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
    for (auto& [customer, rate] : gate.customers)
    {
        rate.per_interval +=
            (rate.this_interval - rate.per_interval) * rate_weight;
        rate.this_interval = 0;
    }
    std::erase_if(
        gate.customers,
        [](const auto& each)
        {
            return each.second.per_interval < forgotten_rate;
        });
    adjust(gate);
    if (gate.open < 1.0)
    {
        share_out(gate);
    }
}

void entry_gate::adjust(class_gate& gate)
{
    const double passed =
        gate.levels == 0 ? 1.0
                         : gate.passed_sum / static_cast<double>(gate.levels);
    gate.passed_sum = 0;
    gate.levels = 0;
    if (passed < 1.0 - surplus)
    {
        const double kept = std::max(passed + surplus, deepest_cut);
        gate.open = std::max(gate.open * kept, least_open);
        gate.step = 0;
        return;
    }
    if (passed < 1.0)
    {
        return;
    }
    gate.step = gate.step == 0 ? first_step : gate.step * 2;
    gate.open = std::min(1.0, gate.open + gate.step);
}

void entry_gate::share_out(class_gate& gate)
{
    std::vector<double> rates;
    rates.reserve(gate.customers.size());
    double offered = 0;
    for (const auto& [customer, rate] : gate.customers)
    {
        rates.push_back(rate.per_interval);
        offered += rate.per_interval;
    }
    std::sort(rates.begin(), rates.end());
    double left = offered * gate.open;
    gate.customer_cap = left;
    for (std::size_t index = 0; index < rates.size(); ++index)
    {
        const double fair = left / static_cast<double>(rates.size() - index);
        gate.customer_cap = fair;
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
    return found == classes_.end() ? 1.0 : found->second.open;
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
