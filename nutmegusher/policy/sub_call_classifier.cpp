#include "nutmegusher/policy/sub_call_classifier.hpp"

#include <algorithm>

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
    auto& of_route = by_route_[route];
    ++of_route.by_caller[caller];
    ++of_route.all;
    if (of_route.all <= max_count)
    {
        return;
    }
    of_route.all = 0;
    for (auto& [service, calls] : of_route.by_caller)
    {
        calls /= 2;
        of_route.all += calls;
    }
}

bool sub_call_classifier::lacks_a_service(const counts& of) const
{
    if (of.all < min_calls_of_many)
    {
        return false;
    }
    return std::any_of(
        calls_by_caller_.begin(),
        calls_by_caller_.end(),
        [&of](const auto& item)
        {
            const auto& [service, calls] = item;
            const auto found = of.by_caller.find(service);
            const auto from = found == of.by_caller.end() ? 0 : found->second;
            return calls >= min_calls_of_service &&
                   static_cast<double>(from) <=
                       static_cast<double>(of.all) * max_absent_share;
        });
}

bool sub_call_classifier::is_sub_call(std::uint64_t route) const
{
    const auto found = by_route_.find(route);
    if (found == by_route_.end() || calls_by_caller_.size() < 2 ||
        found->second.all < min_calls)
    {
        return false;
    }
    const auto& of_route = found->second;
    std::size_t from_main = 0;
    for (const auto& [service, calls] : of_route.by_caller)
    {
        from_main = std::max(from_main, calls);
    }
    const auto all = static_cast<double>(of_route.all);
    const auto from_others = static_cast<double>(of_route.all - from_main);
    return from_others <= all * max_other_share || lacks_a_service(of_route);
}

} // namespace nutmegusher
