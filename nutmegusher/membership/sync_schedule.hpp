// Which control host a daemon syncs with, and when.
#ifndef NUTMEGUSHER_MEMBERSHIP_SYNC_SCHEDULE_HPP
#define NUTMEGUSHER_MEMBERSHIP_SYNC_SCHEDULE_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/membership/subset.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace nutmegusher
{

struct control_host
{
    host_id host;
    // ip:port of its peer listener.
    std::string address;
    locality at;

    friend bool operator==(const control_host&, const control_host&) = default;
};

struct sync_schedule_options
{
    // After a failure the daemon waits a random time up to this bound before it
    // tries the next control host, so that the daemons of a lost control host
    // don't reach the others all at once.
    duration failover_jitter = std::chrono::milliseconds(250);
    // Backoff of a control host that failed. It doubles with each failure up to
    // the maximum, and half of it is jitter. With this maximum, a change that
    // is accepted right after the control hosts have recovered is in force
    // within the required 4 s; 16,000 daemons then make 465 attempts per second
    // at each of 23 control hosts. The initial backoff is short, since a daemon
    // serves no requests before its first sync, and hosts that start together
    // aren't ready at the same moment.
    duration initial_backoff = std::chrono::milliseconds(250);
    duration max_backoff = std::chrono::seconds(2);
    // Until the first sync succeeds, the backoff of a control host grows only
    // after this many failures, and `startup_jitter` replaces
    // `failover_jitter`. Otherwise, after a power loss of all hosts, daemons
    // that had tried too early retried up to 0.8 s after the control hosts had
    // a leader. When a data centre starts, its 2,000 daemons make 1,400
    // attempts per second at each of 23 control hosts for a second.
    unsigned startup_attempts = 6;
    duration startup_jitter = std::chrono::milliseconds(50);
    // When a nearer control host may be used again, each daemon fails back
    // after a random time up to this bound. The 890 daemons of one control host
    // make 15 failbacks per second.
    duration failback_jitter = std::chrono::seconds(60);
};

// The next sync.
struct sync_plan
{
    // The control host to ask; null if there is none.
    const control_host* target = nullptr;
    // The earliest time to ask it.
    time_point at;
};

// Chooses the control host for the daemon's syncs, with failover and failback.
//
// Prefers a control host in the own data centre, then one in the own region.
// Among equally near ones, rendezvous hashing distributes the daemons evenly;
// the daemons of a lost control host are distributed over all the others.
//
// Pattern of load: after a control host is lost or recovers, or when a whole
// data centre starts, thousands of daemons change their control host at once.
// Backoff and jitter spread their attempts over time.
//
//     sync_schedule schedule(self, own_locality);
//     schedule.set_hosts(hosts);
//     const auto plan = schedule.plan(now);   // connect to plan.target
//     schedule.request_sent(now);
//     schedule.succeeded(now, random);        // or failed(now, random)
//
// Not thread-safe.
class sync_schedule
{
public:
    sync_schedule(
        host_id self,
        locality own_locality,
        sync_schedule_options options = {});

    // Replaces the list of control hosts. The failures and backoff of hosts
    // that stay are kept. An unchanged list has no effect, so the list of each
    // reply can be passed in.
    void set_hosts(const std::vector<control_host>& hosts);

    // Returns the control host to ask and the earliest time for it. The plan
    // changes only through the calls below, and when a failback is due.
    [[nodiscard]] sync_plan plan(time_point now) const;

    // Records that a sync was sent to the planned control host. The next
    // outcome applies to this host, even if the plan names another one by then.
    void request_sent(time_point now);

    // Records that the sync succeeded.
    void succeeded(time_point now, random_engine& random);

    // Records that the sync failed.
    void failed(time_point now, random_engine& random);

    // Returns an alternate control host for a hedge: the one with the fewest
    // consecutive failures, and among equals the one that was picked least
    // recently. Returns nothing if there is no other control host.
    [[nodiscard]] std::optional<control_host> pick_alternate(time_point now);

    // Makes the alternate the current control host, since it has a newer
    // configuration, and records a failure of the planned one.
    void switch_to(const host_id& other, time_point now, random_engine& random);

    // Records that the alternate had no newer configuration or didn't reply.
    void alternate_failed(
        const host_id& other, time_point now, random_engine& random);

private:
    struct candidate
    {
        control_host host;
        unsigned failures = 0;
        time_point usable_at;
        // When `pick_alternate` last returned it.
        time_point last_picked_at;
    };

    void
    record_failure(candidate& tried, time_point now, random_engine& random);
    [[nodiscard]] std::optional<std::size_t> find(const host_id& host) const;

    // Index of the host with a sync in flight, else of the planned host.
    // Nothing if the host with the sync in flight was removed from the list.
    [[nodiscard]] std::optional<std::size_t>
    in_flight_or_planned(time_point now) const;
    [[nodiscard]] std::size_t planned_index(time_point now) const;
    [[nodiscard]] std::size_t best(time_point now) const;
    [[nodiscard]] duration
    backoff(unsigned failures, random_engine& random) const;
    void plan_failback(time_point now, random_engine& random);

    host_id self_;
    locality own_locality_;
    sync_schedule_options options_;
    // In order of preference.
    std::vector<candidate> candidates_;
    std::size_t current_ = 0;
    // The host that a sync was sent to, until its outcome is recorded.
    std::optional<host_id> in_flight_;
    bool ever_succeeded_ = false;
    time_point next_attempt_at_;
    // When to fail back to a preferred candidate, and to which.
    std::optional<time_point> failback_at_;
    std::size_t failback_target_ = 0;
};

} // namespace nutmegusher

#endif
