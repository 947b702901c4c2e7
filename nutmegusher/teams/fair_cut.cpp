#include "nutmegusher/teams/fair_cut.hpp"

#include <algorithm>
#include <cmath>

namespace nutmegusher
{

void fair_cut::on_reply(const messages::quota_reply& reply, time_point now)
{
    if (reply.cuts().empty())
    {
        return;
    }
    ranks_.clear();
    rates_.clear();
    received_at_ = now;
    for (const auto& cut : reply.cuts())
    {
        if (!cut.cuts().empty())
        {
            ranks_[static_cast<std::uint8_t>(cut.rank())].cuts.assign(
                cut.cuts().begin(), cut.cuts().end());
        }
    }
    for (const auto& rate : reply.rates())
    {
        rates_[{rate.team(), static_cast<std::uint8_t>(rate.rank())}] =
            rate.rate();
    }
}

double fair_cut::cut_at(const rank_cut& of, double share)
{
    const double steps = static_cast<double>(of.cuts.size() - 1);
    const double position = std::clamp(share, 0.0, 1.0) * steps;
    const auto below = static_cast<std::size_t>(std::floor(position));
    const auto above = std::min(below + 1, of.cuts.size() - 1);
    const double weight = position - std::floor(position);
    return of.cuts[below] + (of.cuts[above] - of.cuts[below]) * weight;
}

double
fair_cut::shed_share(const team_rank& of, double share, time_point now) const
{
    const auto cut = ranks_.find(of.rank);
    if (share <= 0 || cut == ranks_.end() || now - received_at_ >= lifetime)
    {
        return share;
    }
    const auto rate = rates_.find(of);
    // A team that the owner hasn't heard of yet has asked for little.
    if (rate == rates_.end() || rate->second <= 0)
    {
        return 0;
    }
    return std::clamp(1 - cut_at(cut->second, share) / rate->second, 0.0, 1.0);
}

} // namespace nutmegusher
