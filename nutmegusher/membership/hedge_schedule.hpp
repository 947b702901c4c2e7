// When a daemon asks a second control host besides the one that it syncs with.
#ifndef NUTMEGUSHER_MEMBERSHIP_HEDGE_SCHEDULE_HPP
#define NUTMEGUSHER_MEMBERSHIP_HEDGE_SCHEDULE_HPP

#include "nutmegusher/base/base.hpp"

namespace nutmegusher
{

struct hedge_options
{
    // Age from which the daemon's configuration counts as stale. A control host
    // holds a sync for up to 1 s and its reply is up to 250 ms old, so an older
    // configuration indicates a fault. A change must be in force 2 s after it
    // was accepted, which leaves time for two hedges.
    duration stale_after = std::chrono::milliseconds(1300);
    // How long to wait for the reply of the planned control host before the
    // first hedge. A daemon that has just started has no configuration, and
    // would otherwise always ask two control hosts.
    duration reply_wait = std::chrono::milliseconds(200);
    // Backoff between two hedges. It doubles up to the maximum, and half of it
    // is jitter. If all control hosts are unavailable, 16,000 daemons send at
    // most 700 hedges per second to each of 23 control hosts.
    duration initial_backoff = std::chrono::milliseconds(250);
    duration max_backoff = std::chrono::seconds(2);
};

// Schedules hedged requests: when the planned control host seems unable to
// deliver the current configuration, the daemon asks an alternate one as well.
//
// Pattern of load: the control host that holds a daemon's sync is partitioned,
// frozen or lagging, or its reply is lost, while other control hosts have a
// newer configuration. Waiting for the sync to time out takes 2.5 s, by which
// time the newer configuration should already be in force.
//
//     hedge_schedule hedges;
//     hedges.request_sent(now);               // to the planned control host
//     hedges.advance_current_at(current_at);  // from any reply
//     if (now >= hedges.due()) ...            // ask an alternate, then:
//     hedges.hedge_sent(now, random);
class hedge_schedule
{
public:
    explicit hedge_schedule(hedge_options options = {});

    // Records that a sync was sent to the planned control host.
    void request_sent(time_point now);

    // Records that the daemon's configuration contains every change accepted
    // up to `current_at`. Earlier times than the known one are ignored.
    void advance_current_at(time_point current_at);

    // Records that an alternate control host was asked, and backs off.
    void hedge_sent(time_point now, random_engine& random);

    // The earliest time for the next hedge.
    [[nodiscard]] time_point due() const;

    // Returns whether the configuration is older than `stale_after`.
    [[nodiscard]] bool is_stale(time_point now) const
    {
        return now - current_at_ > options_.stale_after;
    }

    // The time up to which the configuration is known to be current; the epoch
    // of the clock if nothing is known yet.
    [[nodiscard]] time_point current_at() const
    {
        return current_at_;
    }

private:
    hedge_options options_;
    time_point current_at_{};
    time_point request_sent_at_{};
    time_point next_hedge_at_{};
    duration backoff_;
};

} // namespace nutmegusher

#endif
