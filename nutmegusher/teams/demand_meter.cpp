#include "nutmegusher/teams/demand_meter.hpp"

namespace nutmegusher
{

void demand_meter::on_request(const team_rank& of, time_point now)
{
    auto& one = counts_[of];
    ++one.requests;
    one.last = now;
}

void demand_meter::on_shed(const team_rank& of)
{
    const auto found = counts_.find(of);
    if (found != counts_.end())
    {
        ++found->second.shed;
    }
}

void demand_meter::report(messages::quota_request& to, time_point now)
{
    std::erase_if(
        counts_,
        [now](const auto& item)
        {
            return now - item.second.last >= retention;
        });
    for (const auto& [of, one] : counts_)
    {
        auto& demand = *to.add_demands();
        demand.set_team(of.team);
        demand.set_rank(of.rank);
        demand.set_requests(one.requests);
        demand.set_shed(one.shed);
    }
}

} // namespace nutmegusher
