#include "nutmegusher/membership/upstream_view.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace nutmegusher
{

upstream_view::upstream_view(
    host_id self, locality own_locality, subset_options options)
    : self_(std::move(self))
    , own_locality_(std::move(own_locality))
    , options_(options)
{
}

void upstream_view::add_service(const service_name& service)
{
    if (services_.insert(service.str()).second)
    {
        // The stamp doesn't cover the new service, so the next request must ask
        // for complete lists.
        stamp_ = 0;
        epoch_ = 0;
    }
}

void upstream_view::fill_request(messages::sync_request& request) const
{
    for (const auto& service : services_)
    {
        request.add_services(service);
    }
    request.set_known_stamp(stamp_);
    request.set_registry_epoch(epoch_);
}

view_change upstream_view::apply(const messages::sync_reply& reply)
{
    view_change change;
    if (!reply.accepted())
    {
        return change;
    }
    for (const auto& host : reply.lost_hosts())
    {
        remove(host, change);
    }
    if (reply.upstreams_complete())
    {
        remove_missing(reply, change);
    }
    for (const auto& record : reply.upstreams())
    {
        put(record, change);
    }
    stamp_ = reply.stamp();
    epoch_ = reply.registry_epoch();
    return change;
}

void upstream_view::put(
    const messages::upstream_record& record, view_change& change)
{
    if (!services_.contains(record.service()) || has_newer_tombstone(record))
    {
        return;
    }
    const auto [at, added] = records_.try_emplace(record.host());
    auto& known = at->second;
    if (!added && std::tuple(record.incarnation(), record.version()) <=
                      std::tuple(known.incarnation(), known.version()))
    {
        return;
    }
    if (!added)
    {
        by_service_[known.service()].erase(record.host());
    }
    known = record;
    by_service_[record.service()].insert(record.host());
    (added ? change.added : change.updated).emplace_back(record.host());
}

void upstream_view::remove(const std::string& host, view_change& change)
{
    const auto found = records_.find(host);
    if (found == records_.end())
    {
        return;
    }
    const auto& record = found->second;
    tombstones_.push_back({host, record.incarnation(), record.version()});
    if (tombstones_.size() > max_tombstones)
    {
        tombstones_.pop_front();
    }
    by_service_[record.service()].erase(host);
    change.removed.emplace_back(host);
    records_.erase(found);
}

void upstream_view::remove_missing(
    const messages::sync_reply& reply, view_change& change)
{
    std::set<std::string_view> present;
    for (const auto& record : reply.upstreams())
    {
        present.insert(record.host());
    }
    std::vector<std::string> missing;
    for (const auto& [host, record] : records_)
    {
        if (!present.contains(host))
        {
            missing.push_back(host);
        }
    }
    for (const auto& host : missing)
    {
        remove(host, change);
    }
}

bool upstream_view::has_newer_tombstone(
    const messages::upstream_record& record) const
{
    return std::any_of(
        tombstones_.begin(),
        tombstones_.end(),
        [&](const tombstone& gone)
        {
            return gone.host == record.host() &&
                   std::tuple(gone.incarnation, gone.version) >
                       std::tuple(record.incarnation(), record.version());
        });
}

const messages::upstream_record* upstream_view::find(const host_id& host) const
{
    const auto found = records_.find(host.str());
    return found == records_.end() ? nullptr : &found->second;
}

std::vector<const messages::upstream_record*>
upstream_view::all(const service_name& service) const
{
    std::vector<const messages::upstream_record*> out;
    const auto found = by_service_.find(service.str());
    if (found != by_service_.end())
    {
        for (const auto& host : found->second)
        {
            out.push_back(&records_.at(host));
        }
    }
    return out;
}

std::vector<const messages::upstream_record*>
upstream_view::subset(const service_name& service) const
{
    auto serving = all(service);
    std::erase_if(
        serving,
        [](const auto* record)
        {
            return record->state() != messages::upstream_serving;
        });
    std::vector<subset_candidate> candidates;
    candidates.reserve(serving.size());
    for (const auto* record : serving)
    {
        candidates.push_back(
            {record->host(),
             {data_center_name(record->data_center()),
              region_name(record->region())}});
    }
    std::vector<const messages::upstream_record*> out;
    for (const auto position :
         choose_subset(self_, own_locality_, candidates, options_))
    {
        out.push_back(serving[position]);
    }
    return out;
}

} // namespace nutmegusher
