#include "nutmegusher/policy/caller_census.hpp"

#include <utility>

namespace nutmegusher
{

namespace
{

// Counts are halved here, so that the census follows a changed call graph.
constexpr std::size_t most_counted = 1000;

} // namespace

void caller_census::note(std::uint64_t route, const service_name& caller)
{
    ++callers_[caller];
    auto& known = by_route_[route];
    if (known.main == caller)
    {
        ++known.from_main;
    }
    else
    {
        ++known.others;
    }
    if (known.others > known.from_main)
    {
        known.main = caller;
        std::swap(known.others, known.from_main);
    }
    if (known.from_main + known.others > most_counted)
    {
        known.from_main /= 2;
        known.others /= 2;
    }
}

bool caller_census::is_sub_call(std::uint64_t route) const
{
    const auto found = by_route_.find(route);
    if (found == by_route_.end() || callers_.size() < 2)
    {
        return false;
    }
    const auto& known = found->second;
    const auto all = known.from_main + known.others;
    return all >= least_calls && static_cast<double>(known.others) <=
                                     static_cast<double>(all) * most_others;
}

} // namespace nutmegusher
