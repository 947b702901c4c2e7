// The leases of the daemons, as one control host knows them.
#ifndef NUTMEGUSHER_MEMBERSHIP_LEASE_REGISTRY_HPP
#define NUTMEGUSHER_MEMBERSHIP_LEASE_REGISTRY_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/membership/change_index.hpp"
#include "nutmegusher/membership/rollout_tally.hpp"
#include "nutmegusher/messages/sync.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace nutmegusher
{

struct lease_options
{
    // How often a daemon syncs at the least, and how many of those may fail
    // before its upstream is lost. Callers find a dead upstream by themselves
    // within milliseconds; the lease only cleans up after it.
    duration renewal_interval = std::chrono::seconds(2);
    unsigned missed_renewals = 3;
    // How long the leases of a silent control host are kept. Silence proves
    // nothing about its daemons, so this is longer than the hour for which
    // regions lose each other.
    duration owner_silence_timeout = std::chrono::hours(2);
    // How long "it is gone" is remembered for readers that come back late; they
    // get a complete list after that.
    duration tombstone_retention = std::chrono::minutes(10);
    // The other control hosts. Before all of them were heard of, what is
    // missing here isn't reported as gone; after `settle_timeout` half of them
    // will do.
    std::size_t other_control_hosts = 0;
    duration settle_timeout = std::chrono::minutes(10);

    [[nodiscard]] duration lease() const
    {
        return renewal_interval * missed_renewals;
    }
};

enum class renewal_result : std::uint8_t
{
    accepted,
    // A later run of this host's daemon is known.
    stale_incarnation
};

// For the dump.
struct registry_counts
{
    std::size_t leases = 0;
    std::size_t owned = 0;
    std::size_t upstreams = 0;
    std::size_t services = 0;
    std::uint64_t stamp = 0;
    bool settled = false;
};

// A daemon syncs with one control host, which *owns* its lease. Control hosts
// tell each other what changed about the leases that they own, so each of them
// can answer every daemon; daemons never talk about leases among themselves.
// Renewals aren't passed on: a lease lives until its owner says that it ended.
//
// Of two records of a host the higher (incarnation, version) holds. Of two
// owners the one that heard of the daemon later holds. Messages take their
// time, so control hosts may see two claims of nearly the same moment in
// another order: where the owner believed here ends its lease, the other one
// that had spoken is asked for all of its leases. Without this a control host
// lost a living daemon for good in one of 12,000 random histories.
//
//     lease_registry registry(self, epoch, now);
//     registry.renew(now, request);
//     registry.answer(request, reply);
//     ...
//     registry.apply(now, other, update);   // from another control host
//     registry.expire(now);                 // about once a second
//
// For one thread.
class lease_registry
{
public:
    // `epoch`: another one for each run of each control host.
    lease_registry(
        const host_id& self,
        std::uint64_t epoch,
        time_point now,
        lease_options options = {});

    // A daemon's sync: renews its lease and takes its announcement.
    renewal_result renew(time_point now, const messages::sync_request& request);

    // The latest run of the host's daemon that is known; 0: none.
    [[nodiscard]] std::uint64_t
    known_incarnation(const std::string& host) const;

    // Ends the leases that ran out. A pass over all leases is made only where
    // one may have.
    void expire(time_point now);

    // Whether `answer` would bring something new; else the sync waits.
    [[nodiscard]] bool has_news(const messages::sync_request& request) const;

    // Fills in upstreams, lost hosts, stamp and epoch.
    void answer(
        const messages::sync_request& request,
        messages::sync_reply& reply) const;

    // What another control host gets that asks.
    [[nodiscard]] messages::registry_update
    update(time_point now, const messages::registry_exchange& request) const;

    // What this one asks `owner`.
    [[nodiscard]] messages::registry_exchange
    exchange(const host_id& owner) const;

    void apply(
        time_point now,
        const host_id& owner,
        const messages::registry_update& update);

    // The control host was taken out of service: what it owned runs out.
    void remove_owner(time_point now, const host_id& owner);

    // Which revisions the daemons of all control hosts run.
    [[nodiscard]] rollout_tally rollout() const;

    [[nodiscard]] registry_counts counts() const;

    // Rises with each change that a daemon or control host can ask for.
    [[nodiscard]] std::uint64_t stamp() const
    {
        return stamp_;
    }

private:
    struct lease_entry
    {
        messages::upstream_record record;
        std::string owner;
        // The owner that was passed over last, of two that both spoke of the
        // daemon; empty: none, or it has ended its lease.
        std::string fallback_owner;
        std::uint64_t incarnation = 0;
        std::uint64_t revision = 0;
        // When the owner last heard of it, as far as is known here.
        time_point renewed_at;
        // `time_point::max()` while another control host vouches for it.
        time_point expires_at;
    };

    struct owner_state
    {
        std::uint64_t epoch = 0;
        std::uint64_t stamp = 0;
        time_point last_update_at;
        messages::rollout_summary rollout;
    };

    struct handover
    {
        time_point at;
        std::string host;
    };

    using entry_map = std::unordered_map<std::string, lease_entry>;

    void apply_lease(
        time_point now,
        const std::string& owner,
        const messages::owned_lease& lease);
    void limit_expiry(time_point now, const std::string& owner);
    void apply_lease_end(
        time_point now, const std::string& owner, const std::string& host);
    void end_handovers(time_point now);
    void purge_tombstones(time_point now);
    void own(const std::string& host, lease_entry& value);
    void reannounce(const std::string& host);
    void set_record(
        const std::string& host,
        lease_entry& value,
        const messages::upstream_record& record,
        time_point now);
    entry_map::iterator remove_entry(entry_map::iterator at, time_point now);
    // Its owner's lease ended: the other owner is believed, or it is lost.
    entry_map::iterator end_lease(entry_map::iterator at, time_point now);
    void settle(time_point now);
    void end_expired_leases(time_point now);
    void set_expiry(lease_entry& value, time_point at);

    [[nodiscard]] bool
    needs_complete_list(const messages::sync_request& request) const;
    [[nodiscard]] messages::owned_lease
    lease_message(std::string_view host, time_point now) const;
    [[nodiscard]] messages::rollout_summary own_rollout() const;
    [[nodiscard]] const messages::rollout_summary&
    cached_own_rollout(time_point now) const;

    std::string self_;
    std::uint64_t epoch_;
    lease_options options_;
    time_point started_at_;
    std::uint64_t stamp_ = 0;
    // The stamp at which this registry knew enough to say what is missing.
    std::uint64_t settled_stamp_ = 0;
    entry_map entries_;
    std::unordered_map<std::string, internal::change_index> services_;
    internal::change_index owned_;
    std::unordered_map<std::string, owner_state> owners_;
    std::deque<handover> handovers_;
    // All control hosts ask several times a second; a pass over all leases for
    // each of them would cost more than everything else here.
    mutable messages::rollout_summary own_rollout_;
    mutable time_point own_rollout_at_;
    time_point next_purge_at_;
    // No lease runs out before this. Renewals don't move it: the next pass
    // finds out.
    time_point earliest_expiry_ = time_point::max();
    std::size_t upstream_count_ = 0;
};

} // namespace nutmegusher

#endif
