#include "nutmegusher/routed/entry_returns.hpp"

#include <algorithm>
#include <string>

namespace nutmegusher::routed::internal
{

namespace
{

// Callers wait for at most this part of the time that they have left.
constexpr int max_wait_divisor = 3;

refused_request refused_of(const entry_request& request, double shed_share)
{
    const auto& metadata = request.call.metadata;
    const auto longest_pause = metadata.time_left() / max_wait_divisor;
    const auto latest = host_clock().now() + longest_pause;
    if (metadata.target <= duration::zero())
    {
        return {metadata.rank, shed_share, latest, longest_pause};
    }
    const auto usual =
        request.state.shed.usual_elapsed(metadata.rank, request.route->hash);
    const auto in_time = request.arrived + metadata.target - usual;
    return {
        metadata.rank, shed_share, std::min(latest, in_time), longest_pause};
}

void count(entry_request& request, node::decision_counter counter)
{
    request.state.process.decisions.add(
        counter, std::to_string(request.call.metadata.rank));
}

} // namespace

std::uint64_t digest_of_content(const entry_request& request)
{
    request_digest digest(request.call.head.method, request.call.head.path);
    digest.update(request.call.metadata.host);
    digest.update("\n");
    digest.update(request.service.str());
    digest.update("\n");
    for (const auto part : request.call.body.parts())
    {
        digest.update(part);
    }
    return digest.value();
}

request_return::request_return(entry_request& request, double shed_share)
    : request_(request)
    , shed_share_(shed_share)
    , is_scheduled_(
          (!request.view->teams().empty() || request.state.repeats.enabled()) &&
          (shed_share > 0 || request.state.returns.has_promises()))
{
    if (!is_scheduled_)
    {
        return;
    }
    const auto& metadata = request.call.metadata;
    key_ = stable_hash(metadata.team, digest_of_content(request));
    is_kept_ = request.state.returns.arrive(key_, metadata.rank);
    if (is_kept_)
    {
        count(request, node::decision_counter::returns_kept);
    }
}

double request_return::share_for_new() const
{
    return is_scheduled_ ? request_.state.returns.share_for_new(
                               request_.call.metadata.rank, shed_share_)
                         : shed_share_;
}

duration request_return::refuse()
{
    auto& engine = request_.worker.random;
    if (!is_scheduled_)
    {
        return jittered(return_schedule::usual_pause, engine);
    }
    const auto offer = request_.state.returns.refuse(
        key_, refused_of(request_, shed_share_), engine);
    count(
        request_,
        offer.is_promised ? node::decision_counter::returns_promised
                          : node::decision_counter::returns_not_promised);
    return offer.after;
}

} // namespace nutmegusher::routed::internal
