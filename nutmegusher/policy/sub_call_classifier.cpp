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
    ++callers_[caller];
    auto& known = by_route_[route];
    if (known.main_caller == caller)
    {
        ++known.from_main;
    }
    else
    {
        ++known.from_others;
    }
    if (known.from_others > known.from_main)
    {
        known.main_caller = caller;
        std::swap(known.from_others, known.from_main);
    }
    if (known.from_main + known.from_others > max_count)
    {
        known.from_main /= 2;
        known.from_others /= 2;
    }
}

bool sub_call_classifier::is_sub_call(std::uint64_t route) const
{
    const auto found = by_route_.find(route);
    if (found == by_route_.end() || callers_.size() < 2)
    {
        return false;
    }
    const auto& known = found->second;
    const auto all = known.from_main + known.from_others;
    return all >= min_calls && static_cast<double>(known.from_others) <=
                                   static_cast<double>(all) * max_other_share;
}

} // namespace nutmegusher
