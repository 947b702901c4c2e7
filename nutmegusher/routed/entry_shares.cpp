#include "nutmegusher/routed/entry_shares.hpp"

#include "nutmegusher/routed/entry_returns.hpp"

#include <algorithm>

namespace nutmegusher::routed::internal
{

namespace
{

// The share of the requests of the rank to shed, for whichever cause demands
// more.
double share_of_rank(entry_request& request)
{
    const auto rank = request.call.metadata.rank;
    const auto route = request.route->hash;
    const auto& levels = request.state.path_levels;
    const double for_slots = request.view->teams().ranks().shed_share(
        levels.level(route, shed_cause::slots), rank);
    const double for_repeats = request.state.paths.refused_share(
        rank, levels.level(route, shed_cause::repeats));
    return std::max(for_slots, for_repeats);
}

// `share`: the share of the requests of the rank and class to shed.
bool is_shed(entry_request& request, double share)
{
    const double fraction = request_fraction(request.facts());
    if (request.view->teams().empty())
    {
        return share > fraction;
    }
    const auto& metadata = request.call.metadata;
    const bool shed = request.state.process.quotas.sheds(
        {metadata.team, metadata.rank}, share, fraction);
    if (shed)
    {
        request.state.process.decisions.add(
            node::decision_counter::team_requests_shed, metadata.team);
    }
    return shed;
}

} // namespace

std::optional<node::refusal> check_shares(entry_request& request)
{
    if (request.call.metadata.sub_call)
    {
        return std::nullopt;
    }
    const double share = request.state.shed.share_of(
        request.call.metadata.rank,
        request.route->hash,
        share_of_rank(request));
    request_return return_of(request, share);
    const double remaining_share =
        return_of.is_kept() ? 0 : return_of.share_for_new();
    if (!is_shed(request, remaining_share))
    {
        return std::nullopt;
    }
    return node::refusal{
        node::call_reason::overload, call_outcome::not_run, return_of.refuse()};
}

} // namespace nutmegusher::routed::internal
