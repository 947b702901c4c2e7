// Which control host a daemon syncs with, and when it tries.
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
    // After a failure the next control host is tried within this time, spread
    // evenly: the daemons of a lost one don't arrive at the others at once.
    duration failover_jitter = std::chrono::milliseconds(250);
    // A control host that failed is left alone so long; doubles with each
    // failure up to the bound, and half of it is spread. The bound keeps a
    // change that is accepted right after control came back within its 4 s;
    // 16,000 daemons that try this often make 465 tries a second at each of 23
    // control hosts.
    // The first one is short: a daemon that starts serves nobody before its
    // first sync, and hosts that start together aren't ready in the same
    // moment.
    duration initial_backoff = std::chrono::milliseconds(250);
    duration max_backoff = std::chrono::seconds(2);
    // Until the first sync was answered, the backoff of a control host grows
    // only after this many failures, and the next one is tried within the
    // spread below: after a loss of all power, control hosts that were asked
    // too early were asked again up to 0.8 s after they had a leader. 2,000
    // daemons of a data centre that starts make 1,400 tries a second at each of
    // 23 control hosts for a second.
    unsigned startup_attempts = 6;
    duration startup_jitter = std::chrono::milliseconds(50);
    // When a nearer control host may be used again, daemons go back to it over
    // this time. 890 daemons of one control host make 15 returns a second.
    duration failback_jitter = std::chrono::seconds(60);
};

// What to do next.
struct sync_plan
{
    // Null where there is none to try.
    const control_host* target = nullptr;
    // Not before this.
    time_point at;
};

// Prefers a control host of the own data centre, then one of the own region;
// among equals rendezvous hashing spreads the daemons evenly, and over all the
// others when one is lost.
//
//     sync_schedule schedule(self, own_locality);
//     schedule.set_hosts(hosts);
//     const auto plan = schedule.plan(now);   // connect to plan.target
//     schedule.succeeded(now, random);        // or schedule.failed(now,
//     random)
//
// For one thread.
class sync_schedule
{
public:
    sync_schedule(
        host_id self,
        locality own_locality,
        sync_schedule_options options = {});

    // Those that there are now; what is known of them stays. Nothing happens
    // where they are the same, so each reply's list can be given.
    void set_hosts(const std::vector<control_host>& hosts);

    // The control host to use, and from when on. It changes only by the events
    // below, and when it is time to go back to a nearer one.
    [[nodiscard]] sync_plan plan(time_point now) const;

    // The planned one is asked now; what is told next is of it, also where
    // another one is planned by then.
    void request_sent(time_point now);

    // A sync with the planned one was answered.
    void succeeded(time_point now, random_engine& random);

    // It wasn't.
    void failed(time_point now, random_engine& random);

    // Another one to ask beside the planned one: the one that failed least
    // lately, and among equals the one that wasn't asked so for longest.
    // Nothing where there is no other.
    [[nodiscard]] std::optional<control_host> pick_alternate(time_point now);

    // That one knows more than the planned one: it is used from now on, and the
    // planned one counts as failed.
    void switch_to(const host_id& other, time_point now, random_engine& random);

    // That one doesn't know more, or gave no answer.
    void alternate_failed(
        const host_id& other, time_point now, random_engine& random);

private:
    struct candidate
    {
        control_host host;
        unsigned failures = 0;
        time_point usable_at;
        // When it was last asked beside the planned one.
        time_point last_picked_at;
    };

    void
    record_failure(candidate& tried, time_point now, random_engine& random);
    [[nodiscard]] std::optional<std::size_t> find(const host_id& host) const;

    // Of the one that was asked, else of the planned one; nothing where it is
    // no candidate any more.
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
    // Most wanted first.
    std::vector<candidate> candidates_;
    std::size_t current_ = 0;
    std::optional<host_id> in_flight_;
    bool ever_succeeded_ = false;
    time_point next_attempt_at_;
    // When to go back to a more wanted one, and to which.
    std::optional<time_point> failback_at_;
    std::size_t failback_target_ = 0;
};

} // namespace nutmegusher

#endif
