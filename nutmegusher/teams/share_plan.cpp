#include "nutmegusher/teams/share_plan.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace nutmegusher
{

namespace
{

// The curves are computed again after this time at the earliest: with thousands
// of teams and daemons they are asked for much more often.
constexpr duration curve_lifetime = std::chrono::milliseconds(50);
constexpr duration forget_interval = std::chrono::seconds(1);
// Teams and daemons of which nothing was heard for this long are forgotten.
constexpr duration retention = 2 * demand_meter::retention;
// Lower rates are remnants of earlier requests.
constexpr double min_rate = 0.01;
constexpr double share_scale = 1000;
// Daemons report twice in the short window. The long one lets a team of two
// requests a second fluctuate by a third.
constexpr double recent_seconds = 0.5;
constexpr double usual_seconds = 4;
constexpr double significant_deviations = 3;

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double max_min_cut(std::span<const double> ascending_rates, double remaining)
{
    double total = 0;
    for (const double rate : ascending_rates)
    {
        total += rate;
    }
    double left = total * remaining;
    std::size_t teams = ascending_rates.size();
    for (const double rate : ascending_rates)
    {
        if (rate * static_cast<double>(teams) >= left)
        {
            return left / static_cast<double>(teams);
        }
        left -= rate;
        --teams;
    }
    return ascending_rates.empty() ? 0 : ascending_rates.back();
}

share_plan::share_plan(time_point now)
    : since_(now)
{
}

void share_plan::decay(team_rate& of, time_point now)
{
    const double age = std::max(seconds_of(now - of.at), 0.0);
    of.recent *= std::exp(-age / recent_seconds);
    of.usual *= std::exp(-age / usual_seconds);
    of.at = std::max(of.at, now);
}

// Only a part of the long window has passed since the first request, or since
// the last change.
double share_plan::rate_of(team_rate of, time_point now)
{
    decay(of, now);
    const double age = std::max(seconds_of(now - of.since), recent_seconds);
    return of.usual / (1 - std::exp(-age / usual_seconds));
}

// Begins the long window anew where the short one shows a change that chance
// doesn't explain.
void share_plan::restart_after_change(team_rate& of, time_point now)
{
    const double rate = rate_of(of, now);
    const double deviation = std::sqrt(rate / (2 * recent_seconds));
    if (std::abs(of.recent - rate) <= significant_deviations * deviation)
    {
        return;
    }
    of.since = now - std::chrono::duration_cast<duration>(
                         std::chrono::duration<double>(recent_seconds));
    of.usual = of.recent * (1 - std::exp(-recent_seconds / usual_seconds));
}

void share_plan::apply(
    daemon_counts& from,
    const messages::team_demand& demand,
    bool is_first,
    time_point now)
{
    const team_rank of{demand.team(), static_cast<std::uint8_t>(demand.rank())};
    const auto [known, is_new] = from.counts.try_emplace(of);
    auto& last = known->second;
    // What a daemon counted before it was first heard of has no known time.
    const bool has_base = !(is_new && is_first);
    const auto grown = [](std::uint64_t now_counted, std::uint64_t before)
    {
        return now_counted >= before ? now_counted - before : now_counted;
    };
    if (has_base)
    {
        const auto [found, is_first_demand] = teams_.try_emplace(of);
        auto& rate = found->second;
        rate.since = is_first_demand ? now : rate.since;
        const auto requests =
            static_cast<double>(grown(demand.requests(), last.requests));
        decay(rate, now);
        rate.recent += requests / recent_seconds;
        rate.usual += requests / usual_seconds;
        restart_after_change(rate, now);
        rate.shed += grown(demand.shed(), last.shed);
    }
    last = {demand.requests(), demand.shed()};
}

void share_plan::on_request(
    const messages::quota_request& request, time_point now)
{
    forget_idle(now);
    auto& from = daemons_[request.host()];
    const bool is_first = from.incarnation != request.incarnation();
    if (is_first)
    {
        from.counts.clear();
        from.incarnation = request.incarnation();
    }
    from.last = now;
    for (const auto& demand : request.demands())
    {
        if (demand.rank() <= std::numeric_limits<std::uint8_t>::max())
        {
            apply(from, demand, is_first, now);
        }
    }
    for (const auto& shed : request.sheds())
    {
        auto& known = sheds_[static_cast<std::uint8_t>(shed.rank())];
        const double share = std::min(shed.share() / share_scale, 1.0);
        const bool is_old = now - known.at >= shed_lifetime;
        if (is_old || share >= known.share)
        {
            known = {share, now};
        }
    }
}

void share_plan::forget_idle(time_point now)
{
    if (now - forgot_at_ < forget_interval)
    {
        return;
    }
    forgot_at_ = now;
    std::erase_if(
        daemons_,
        [now](const auto& item)
        {
            return now - item.second.last >= retention;
        });
    std::erase_if(
        teams_,
        [now](const auto& item)
        {
            return now - item.second.at >= retention;
        });
}

void share_plan::update_curves(time_point now)
{
    if (!curves_.empty() && now - curves_at_ < curve_lifetime)
    {
        return;
    }
    curves_at_ = now;
    curves_.clear();
    std::map<std::uint8_t, std::vector<double>> rates;
    for (const auto& [of, team] : teams_)
    {
        const double rate = rate_of(team, now);
        if (rate >= min_rate)
        {
            rates[of.rank].push_back(rate);
        }
    }
    for (auto& [rank, all] : rates)
    {
        std::sort(all.begin(), all.end());
        auto& curve = curves_[rank];
        for (const double rate : all)
        {
            curve.demand += rate;
        }
        for (std::size_t point = 0; point <= cut_points; ++point)
        {
            const double shed = static_cast<double>(point) / cut_points;
            curve.cuts.push_back(max_min_cut(all, 1 - shed));
        }
    }
}

void share_plan::add_cuts(
    const messages::quota_request& request,
    messages::quota_reply& to,
    time_point now)
{
    if (request.sheds().empty() || now - since_ < learning_time)
    {
        return;
    }
    update_curves(now);
    for (const auto& [rank, curve] : curves_)
    {
        auto& cut = *to.add_cuts();
        cut.set_rank(rank);
        cut.set_demand(curve.demand);
        for (const double rate : curve.cuts)
        {
            cut.add_cuts(static_cast<float>(rate));
        }
    }
    for (const auto& demand : request.demands())
    {
        const team_rank of{
            demand.team(), static_cast<std::uint8_t>(demand.rank())};
        const auto found = teams_.find(of);
        if (found != teams_.end())
        {
            auto& rate = *to.add_rates();
            rate.set_team(of.team);
            rate.set_rank(of.rank);
            rate.set_rate(rate_of(found->second, now));
        }
    }
}

double share_plan::shed_share(std::uint8_t rank, time_point now) const
{
    const auto found = sheds_.find(rank);
    const bool is_current =
        found != sheds_.end() && now - found->second.at < shed_lifetime;
    return is_current ? found->second.share : 0;
}

std::vector<team_share> share_plan::state(time_point now) const
{
    std::map<std::uint8_t, std::vector<double>> rates;
    for (const auto& [of, team] : teams_)
    {
        rates[of.rank].push_back(rate_of(team, now));
    }
    std::map<std::uint8_t, double> cuts;
    for (auto& [rank, all] : rates)
    {
        std::sort(all.begin(), all.end());
        cuts[rank] = max_min_cut(all, 1 - shed_share(rank, now));
    }
    std::vector<team_share> shares;
    for (const auto& [of, team] : teams_)
    {
        const double demand = rate_of(team, now);
        shares.push_back(
            {of, demand, std::min(demand, cuts.at(of.rank)), team.shed});
    }
    return shares;
}

} // namespace nutmegusher
