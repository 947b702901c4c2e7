// The daemon leases that one control host knows.
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
    // The longest time between two syncs of a daemon, and how many renewals it
    // may miss before its lease ends. Callers detect a dead upstream by
    // themselves within milliseconds; the end of the lease only removes it.
    duration renewal_interval = std::chrono::seconds(2);
    unsigned missed_renewals = 3;
    // How long the leases of an unreachable control host are kept. Its daemons
    // may still be alive, so this is longer than a network partition between
    // regions, which can last an hour.
    duration owner_silence_timeout = std::chrono::hours(2);
    // How long a removal is kept for readers with an old stamp. Readers that
    // are further behind get a complete list.
    duration tombstone_retention = std::chrono::minutes(10);
    // Number of other control hosts. Until each of them has sent an update, the
    // registry doesn't report missing upstreams as removed. After
    // `settle_timeout`, updates from half of them suffice.
    std::size_t other_control_hosts = 0;
    duration settle_timeout = std::chrono::minutes(10);

    // How long a lease lasts without a renewal.
    [[nodiscard]] duration lease() const
    {
        return renewal_interval * missed_renewals;
    }
};

enum class renewal_result : std::uint8_t
{
    accepted,
    // The registry knows a later incarnation of this host's daemon.
    stale_incarnation
};

// Sizes and state of the registry, for the diagnostic dump.
struct registry_counts
{
    std::size_t leases = 0;
    std::size_t owned = 0;
    std::size_t upstreams = 0;
    std::size_t services = 0;
    std::uint64_t stamp = 0;
    // Whether missing upstreams are reported as removed.
    bool settled = false;
};

// Tracks the leases of all daemons, at one control host.
//
// A daemon syncs with one control host, which *owns* its lease. Control hosts
// send each other the changes to the leases that they own, so each of them can
// answer every daemon. Daemons exchange no leases among themselves. Renewals
// aren't forwarded: a lease lasts until its owner reports its end.
//
// Of two records of a host, the one with the higher (incarnation, version)
// wins. Of two owners, the one with the later renewal wins. Because of message
// delays, control hosts may see two nearly simultaneous claims of ownership in
// different orders. When the accepted owner then ends its lease, the registry
// falls back to the other claimant and requests all of its leases. Without this
// fallback a control host permanently lost a live daemon in one of 12,000
// random histories.
//
//     lease_registry registry(self, epoch, now);
//     registry.renew(now, request);
//     registry.answer(request, reply);
//     ...
//     registry.apply(now, other, update);   // from another control host
//     registry.expire(now);                 // about once a second
//
// Not thread-safe.
class lease_registry
{
public:
    // `epoch` must be different for each run of each control host.
    lease_registry(
        const host_id& self,
        std::uint64_t epoch,
        time_point now,
        lease_options options = {});

    // Handles a daemon's sync: renews its lease and stores its upstream record.
    renewal_result renew(time_point now, const messages::sync_request& request);

    // Returns the latest known incarnation of the host's daemon, 0 if none.
    [[nodiscard]] std::uint64_t
    known_incarnation(const std::string& host) const;

    // Ends expired leases. Scans all leases only if one may have expired.
    void expire(time_point now);

    // Returns whether `answer` would contain changes. If not, the caller holds
    // the sync open until it does.
    [[nodiscard]] bool has_news(const messages::sync_request& request) const;

    // Fills in the upstreams, the lost hosts, the stamp and the epoch.
    void answer(
        const messages::sync_request& request,
        messages::sync_reply& reply) const;

    // Returns the reply to another control host's exchange request.
    [[nodiscard]] messages::registry_update
    update(time_point now, const messages::registry_exchange& request) const;

    // Returns the exchange request to send to `owner`.
    [[nodiscard]] messages::registry_exchange
    exchange(const host_id& owner) const;

    // Applies the reply of `owner` to an exchange request.
    void apply(
        time_point now,
        const host_id& owner,
        const messages::registry_update& update);

    // Handles the removal of a control host: the leases that it owned expire
    // unless the daemons renew them at another control host.
    void remove_owner(time_point now, const host_id& owner);

    // Counts the daemons of all control hosts by the revision that they run.
    [[nodiscard]] rollout_tally rollout() const;

    [[nodiscard]] registry_counts counts() const;

    // Increases with each change that a daemon or control host can request.
    [[nodiscard]] std::uint64_t stamp() const
    {
        return stamp_;
    }

private:
    struct lease_entry
    {
        messages::upstream_record record;
        std::string owner;
        // The last control host whose claim of the daemon lost against
        // `owner`. Empty if there is none or if it has ended its lease.
        std::string fallback_owner;
        std::uint64_t incarnation = 0;
        std::uint64_t revision = 0;
        // The last renewal at the owner that this registry knows of.
        time_point renewed_at;
        // `time_point::max()` while another control host owns the lease.
        time_point expires_at;
    };

    struct owner_state
    {
        std::uint64_t epoch = 0;
        std::uint64_t stamp = 0;
        time_point last_update_at;
        messages::rollout_summary rollout;
    };

    // A daemon that moved from this control host to another owner.
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
    // Makes the owner's leases expire after one lease duration at the latest.
    void limit_expiry(time_point now, const std::string& owner);
    void apply_lease_end(
        time_point now, const std::string& owner, const std::string& host);
    void end_handovers(time_point now);
    void purge_tombstones(time_point now);
    // Makes this control host the owner.
    void own(const std::string& host, lease_entry& value);
    // Sends the lease to the other control hosts again.
    void reannounce(const std::string& host);
    void set_record(
        const std::string& host,
        lease_entry& value,
        const messages::upstream_record& record,
        time_point now);
    entry_map::iterator remove_entry(entry_map::iterator at, time_point now);
    // Ends the owner's lease: makes the fallback owner the owner, or removes
    // the entry if there is none.
    entry_map::iterator end_lease(entry_map::iterator at, time_point now);
    // Sets `settled_stamp_` once the registry holds enough leases to report
    // missing upstreams.
    void settle(time_point now);
    void end_expired_leases(time_point now);
    void set_expiry(lease_entry& value, time_point at);

    [[nodiscard]] bool
    needs_complete_list(const messages::sync_request& request) const;
    [[nodiscard]] messages::owned_lease
    lease_message(std::string_view host, time_point now) const;
    // Counts the daemons whose leases this control host owns.
    [[nodiscard]] messages::rollout_summary own_rollout() const;
    [[nodiscard]] const messages::rollout_summary&
    cached_own_rollout(time_point now) const;

    std::string self_;
    std::uint64_t epoch_;
    lease_options options_;
    time_point started_at_;
    std::uint64_t stamp_ = 0;
    // The stamp from which on missing upstreams are reported as removed;
    // readers with an older one get a complete list. 0 until the registry has
    // settled.
    std::uint64_t settled_stamp_ = 0;
    entry_map entries_;
    std::unordered_map<std::string, internal::change_index> services_;
    internal::change_index owned_;
    std::unordered_map<std::string, owner_state> owners_;
    std::deque<handover> handovers_;
    // Cached, since every control host requests it several times a second and a
    // scan of all leases for each request would dominate the cost of the
    // registry.
    mutable messages::rollout_summary own_rollout_;
    mutable time_point own_rollout_at_;
    time_point next_purge_at_;
    // No lease expires before this time. Renewals don't update it; the next
    // scan of the leases does.
    time_point earliest_expiry_ = time_point::max();
    std::size_t upstream_count_ = 0;
};

} // namespace nutmegusher

#endif
