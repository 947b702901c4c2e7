#include "nutmegusher/membership/lease_registry.hpp"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace nutmegusher
{
namespace
{

std::uint64_t to_ms(duration value)
{
    using std::chrono::milliseconds;
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(value).count());
}

bool newer(
    const messages::upstream_record& one,
    const messages::upstream_record& other)
{
    return std::tuple(one.incarnation(), one.version()) >
           std::tuple(other.incarnation(), other.version());
}

} // namespace

lease_registry::lease_registry(
    const host_id& self,
    std::uint64_t epoch,
    time_point now,
    lease_options options)
    : self_(self.str())
    , epoch_(epoch)
    , options_(options)
    , started_at_(now)
{
}

renewal_result
lease_registry::renew(time_point now, const messages::sync_request& request)
{
    const auto [at, added] = entries_.try_emplace(request.host());
    auto& [host, value] = *at;
    if (request.incarnation() < value.incarnation)
    {
        return renewal_result::stale_incarnation;
    }
    const bool restarted = request.incarnation() > value.incarnation;
    value.incarnation = request.incarnation();
    value.revision = request.configuration_revision();
    value.renewed_at = now;
    set_expiry(value, now + options_.lease());
    if (added || restarted || value.owner != self_)
    {
        own(host, value);
    }
    if (!request.has_own())
    {
        set_record(host, value, {}, now);
    }
    else if (
        value.record.service().empty() || newer(request.own(), value.record))
    {
        set_record(host, value, request.own(), now);
    }
    return renewal_result::accepted;
}

std::uint64_t lease_registry::known_incarnation(const std::string& host) const
{
    const auto found = entries_.find(host);
    return found == entries_.end() ? 0 : found->second.incarnation;
}

void lease_registry::own(const std::string& host, lease_entry& value)
{
    value.owner = self_;
    owned_.put(host, ++stamp_);
}

void lease_registry::set_record(
    const std::string& host,
    lease_entry& value,
    const messages::upstream_record& record,
    time_point now)
{
    const auto before = value.record.service();
    const auto& after = record.service();
    if (before.empty() && after.empty())
    {
        return;
    }
    value.record = record;
    if (!before.empty() && before != after)
    {
        services_[before].remove(host, ++stamp_, now);
    }
    upstream_count_ += before.empty() ? 1 : 0;
    upstream_count_ -= after.empty() ? 1 : 0;
    if (!after.empty())
    {
        services_[after].put(host, ++stamp_);
    }
    if (value.owner == self_)
    {
        owned_.put(host, ++stamp_);
    }
}

lease_registry::entry_map::iterator
lease_registry::remove_entry(entry_map::iterator at, time_point now)
{
    const auto& [host, value] = *at;
    if (!value.record.service().empty())
    {
        services_[value.record.service()].remove(host, ++stamp_, now);
        --upstream_count_;
    }
    if (value.owner == self_)
    {
        owned_.remove(host, ++stamp_, now);
    }
    return entries_.erase(at);
}

lease_registry::entry_map::iterator
lease_registry::end_lease(entry_map::iterator at, time_point now)
{
    auto& [host, value] = *at;
    if (value.fallback_owner.empty() || value.fallback_owner == self_)
    {
        return remove_entry(at, now);
    }
    if (value.owner == self_)
    {
        owned_.remove(host, ++stamp_, now);
    }
    value.owner = std::exchange(value.fallback_owner, std::string());
    // Requests all leases of the new owner, since it won't send this one again
    // unprompted. If it has ended the lease as well, the lease expires here.
    owners_[value.owner].epoch = 0;
    set_expiry(value, now + options_.lease());
    return std::next(at);
}

void lease_registry::expire(time_point now)
{
    for (auto& [owner, state] : owners_)
    {
        if (now - state.last_update_at > options_.owner_silence_timeout)
        {
            limit_expiry(now - options_.lease(), owner);
            // Requests all of its leases if it becomes reachable again.
            state.epoch = 0;
        }
    }
    end_handovers(now);
    end_expired_leases(now);
    if (now >= next_purge_at_)
    {
        purge_tombstones(now);
    }
    settle(now);
}

void lease_registry::end_expired_leases(time_point now)
{
    if (now < earliest_expiry_)
    {
        return;
    }
    earliest_expiry_ = time_point::max();
    for (auto at = entries_.begin(); at != entries_.end();)
    {
        if (at->second.expires_at <= now)
        {
            at = end_lease(at, now);
            continue;
        }
        earliest_expiry_ = std::min(earliest_expiry_, at->second.expires_at);
        ++at;
    }
}

void lease_registry::set_expiry(lease_entry& value, time_point at)
{
    value.expires_at = at;
    earliest_expiry_ = std::min(earliest_expiry_, at);
}

void lease_registry::purge_tombstones(time_point now)
{
    next_purge_at_ = now + options_.tombstone_retention;
    const auto before = now - options_.tombstone_retention;
    owned_.purge_tombstones(before);
    for (auto& [service, index] : services_)
    {
        index.purge_tombstones(before);
    }
}

// A registry that has just started lacks most leases. Until the daemons and the
// other control hosts have had time to send them, a missing lease doesn't mean
// that the daemon is gone.
void lease_registry::settle(time_point now)
{
    if (settled_stamp_ != 0 || now < started_at_ + options_.lease())
    {
        return;
    }
    const auto all = options_.other_control_hosts;
    const bool timed_out = now >= started_at_ + options_.settle_timeout;
    const auto required = timed_out ? all - all / 2 : all;
    if (owners_.size() >= required)
    {
        settled_stamp_ = ++stamp_;
    }
}

bool lease_registry::needs_complete_list(
    const messages::sync_request& request) const
{
    if (request.registry_epoch() != epoch_ ||
        request.known_stamp() < settled_stamp_)
    {
        return true;
    }
    return std::any_of(
        request.services().begin(),
        request.services().end(),
        [&](const std::string& service)
        {
            const auto found = services_.find(service);
            return found != services_.end() &&
                   !found->second.covers_changes_since(request.known_stamp());
        });
}

bool lease_registry::has_news(const messages::sync_request& request) const
{
    if (needs_complete_list(request))
    {
        return true;
    }
    return std::any_of(
        request.services().begin(),
        request.services().end(),
        [&](const std::string& service)
        {
            const auto found = services_.find(service);
            return found != services_.end() &&
                   found->second.changed_since(request.known_stamp());
        });
}

void lease_registry::answer(
    const messages::sync_request& request, messages::sync_reply& reply) const
{
    const bool complete = needs_complete_list(request);
    const auto since = complete ? 0 : request.known_stamp();
    for (const auto& service : request.services())
    {
        const auto found = services_.find(service);
        if (found == services_.end())
        {
            continue;
        }
        found->second.for_each_since(
            since,
            [&](const auto& change)
            {
                if (!change.removed)
                {
                    *reply.add_upstreams() =
                        entries_.at(std::string(change.host)).record;
                }
                else if (!complete)
                {
                    reply.add_lost_hosts(std::string(change.host));
                }
            });
    }
    reply.set_accepted(true);
    // Before the registry has settled, an upstream that is not listed may still
    // be alive, so the list isn't marked complete.
    reply.set_upstreams_complete(complete && settled_stamp_ != 0);
    reply.set_stamp(stamp_);
    reply.set_registry_epoch(epoch_);
}

messages::registry_exchange lease_registry::exchange(const host_id& owner) const
{
    messages::registry_exchange out;
    out.set_from_host(self_);
    const auto found = owners_.find(owner.str());
    if (found != owners_.end())
    {
        out.set_known_epoch(found->second.epoch);
        out.set_known_stamp(found->second.stamp);
    }
    return out;
}

messages::registry_update lease_registry::update(
    time_point now, const messages::registry_exchange& request) const
{
    messages::registry_update out;
    const bool complete = request.known_epoch() != epoch_ ||
                          !owned_.covers_changes_since(request.known_stamp());
    owned_.for_each_since(
        complete ? 0 : request.known_stamp(),
        [&](const auto& change)
        {
            if (!change.removed)
            {
                *out.add_leases() = lease_message(change.host, now);
            }
            else if (!complete)
            {
                auto& ended = *out.add_leases();
                ended.set_host(std::string(change.host));
                ended.set_ended(true);
            }
        });
    out.set_complete(complete);
    out.set_epoch(epoch_);
    out.set_stamp(stamp_);
    *out.mutable_rollout() = cached_own_rollout(now);
    return out;
}

messages::owned_lease
lease_registry::lease_message(std::string_view host, time_point now) const
{
    const auto& value = entries_.at(std::string(host));
    messages::owned_lease out;
    out.set_host(std::string(host));
    out.set_incarnation(value.incarnation);
    out.set_configuration_revision(value.revision);
    out.set_age_ms(to_ms(now - value.renewed_at));
    if (!value.record.service().empty())
    {
        *out.mutable_record() = value.record;
    }
    return out;
}

void lease_registry::apply(
    time_point now,
    const host_id& owner,
    const messages::registry_update& update)
{
    auto& state = owners_[owner.str()];
    if (update.complete())
    {
        limit_expiry(now, owner.str());
    }
    for (const auto& lease : update.leases())
    {
        apply_lease(now, owner.str(), lease);
    }
    state.epoch = update.epoch();
    state.stamp = update.stamp();
    state.last_update_at = now;
    state.rollout = update.rollout();
}

void lease_registry::apply_lease(
    time_point now,
    const std::string& owner,
    const messages::owned_lease& lease)
{
    if (lease.ended())
    {
        apply_lease_end(now, owner, lease.host());
        return;
    }
    const auto lease_ms = to_ms(options_.lease());
    if (lease.age_ms() > lease_ms)
    {
        return;
    }
    const auto renewed_at = now - std::chrono::milliseconds(lease.age_ms());
    const auto [at, added] = entries_.try_emplace(lease.host());
    auto& [host, value] = *at;
    const bool owned_here = value.owner == self_;
    const bool renewed_later_here = value.incarnation == lease.incarnation() &&
                                    value.owner != owner &&
                                    renewed_at <= value.renewed_at;
    const bool is_earlier_incarnation = lease.incarnation() < value.incarnation;
    if (!added && (renewed_later_here || is_earlier_incarnation))
    {
        if (!is_earlier_incarnation)
        {
            value.fallback_owner = owner;
        }
        if (owned_here)
        {
            reannounce(host);
        }
        return;
    }
    if (owned_here)
    {
        owned_.erase(host);
        handovers_.push_back({now, host});
    }
    if (value.owner != owner)
    {
        value.fallback_owner = added || value.incarnation < lease.incarnation()
                                   ? std::string()
                                   : value.owner;
    }
    value.owner = owner;
    value.incarnation = lease.incarnation();
    value.revision = lease.configuration_revision();
    value.renewed_at = renewed_at;
    value.expires_at = time_point::max();
    if (!lease.has_record())
    {
        set_record(host, value, {}, now);
    }
    else if (
        value.record.service().empty() || newer(lease.record(), value.record))
    {
        set_record(host, value, lease.record(), now);
    }
}

void lease_registry::apply_lease_end(
    time_point now, const std::string& owner, const std::string& host)
{
    const auto found = entries_.find(host);
    if (found == entries_.end())
    {
        return;
    }
    auto& value = found->second;
    if (value.fallback_owner == owner)
    {
        value.fallback_owner.clear();
    }
    if (value.owner == self_)
    {
        reannounce(host);
        return;
    }
    if (value.owner != owner)
    {
        return;
    }
    end_lease(found, now);
}

// Other control hosts may have accepted another owner, so the lease is sent to
// them again.
void lease_registry::reannounce(const std::string& host)
{
    owned_.put(host, ++stamp_);
}

// When a daemon moves, its new owner sends the lease to all control hosts. The
// previous owner reports the end of its own lease only after a lease duration,
// so that the new owner's update usually arrives first. Control hosts that
// reach only the previous owner still learn that the lease ended.
void lease_registry::end_handovers(time_point now)
{
    while (!handovers_.empty() &&
           handovers_.front().at + options_.lease() <= now)
    {
        const auto& host = handovers_.front().host;
        const auto found = entries_.find(host);
        if (found == entries_.end() || found->second.owner != self_)
        {
            owned_.put_tombstone(host, ++stamp_, now);
        }
        handovers_.pop_front();
    }
}

// Daemons whose owner is unavailable have one lease duration to renew at
// another control host.
void lease_registry::limit_expiry(time_point now, const std::string& owner)
{
    for (auto& [host, value] : entries_)
    {
        if (value.owner == owner)
        {
            set_expiry(
                value, std::min(value.expires_at, now + options_.lease()));
        }
    }
}

void lease_registry::remove_owner(time_point now, const host_id& owner)
{
    limit_expiry(now, owner.str());
    owners_.erase(owner.str());
}

messages::rollout_summary lease_registry::own_rollout() const
{
    rollout_tally tally;
    for (const auto& [host, value] : entries_)
    {
        if (value.owner == self_)
        {
            tally.add(host, value.revision);
        }
    }
    return tally.summary();
}

const messages::rollout_summary&
lease_registry::cached_own_rollout(time_point now) const
{
    constexpr duration max_age = std::chrono::milliseconds(250);
    if (now - own_rollout_at_ >= max_age)
    {
        own_rollout_ = own_rollout();
        own_rollout_at_ = now;
    }
    return own_rollout_;
}

rollout_tally lease_registry::rollout() const
{
    rollout_tally tally;
    tally.add(own_rollout());
    for (const auto& [owner, state] : owners_)
    {
        tally.add(state.rollout);
    }
    return tally;
}

registry_counts lease_registry::counts() const
{
    registry_counts out;
    out.leases = entries_.size();
    out.owned = owned_.size();
    out.upstreams = upstream_count_;
    out.services = services_.size();
    out.stamp = stamp_;
    out.settled = settled_stamp_ != 0;
    return out;
}

} // namespace nutmegusher
