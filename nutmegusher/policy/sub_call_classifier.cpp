#include "nutmegusher/policy/sub_call_classifier.hpp"

#include <utility>

namespace nutmegusher
{

namespace
{

// When a route's counts reach this, they are halved, so that the classification
// follows changes of the call graph.
constexpr std::size_t max_count = 1000;

} // namespace

void sub_call_classifier::record(
    std::uint64_t route, const service_name& caller)
{
    ++calls_by_caller_[caller];
    auto& route_counts = by_route_[route];
    if (route_counts.main_caller == caller)
    {
        ++route_counts.from_main;
    }
    else
    {
        ++route_counts.from_others;
    }
    if (route_counts.from_others > route_counts.from_main)
    {
        route_counts.main_caller = caller;
        std::swap(route_counts.from_others, route_counts.from_main);
    }
    if (route_counts.from_main + route_counts.from_others > max_count)
    {
        route_counts.from_main /= 2;
        route_counts.from_others /= 2;
    }
}

bool sub_call_classifier::is_sub_call(std::uint64_t route) const
{
    const auto found = by_route_.find(route);
    if (found == by_route_.end() || calls_by_caller_.size() < 2)
    {
        return false;
    }
    const auto& route_counts = found->second;
    const auto all = route_counts.from_main + route_counts.from_others;
    return all >= min_calls && static_cast<double>(route_counts.from_others) <=
                                   static_cast<double>(all) * max_other_share;
}

} // namespace nutmegusher
