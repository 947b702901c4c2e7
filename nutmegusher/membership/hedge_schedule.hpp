// When a daemon asks another control host beside the one that it syncs with.
#ifndef NUTMEGUSHER_MEMBERSHIP_HEDGE_SCHEDULE_HPP
#define NUTMEGUSHER_MEMBERSHIP_HEDGE_SCHEDULE_HPP

#include "nutmegusher/base/base.hpp"

namespace nutmegusher
{

struct hedge_options
{
    // A sync is held for a second, and what it then tells is a quarter of a
    // second old: knowledge that is older than both has a cause. A change is
    // due 2 s after it was accepted, which leaves time to ask two others.
    duration stale_after = std::chrono::milliseconds(1300);
    // For the answer of the one that was asked first: a daemon that starts
    // knows nothing, and shouldn't ask two where one answers.
    duration reply_wait = std::chrono::milliseconds(200);
    // Between two questions to others; doubles up to the bound, and half of it
    // is spread. 16,000 daemons whose control is all gone make at most 700 of
    // these a second at each of 23 control hosts.
    duration initial_backoff = std::chrono::milliseconds(250);
    duration max_backoff = std::chrono::seconds(2);
};

// Load pattern: the control host that holds a daemon's sync is cut off, frozen,
// behind, or its answer is lost, and others know a newer configuration. By the
// end of the sync's own time, 2.5 s, the newer one should have been in force.
//
//     hedge_schedule hedges(start);
//     hedges.request_sent(now);               // the planned one
//     hedges.advance_current_at(current_at);      // from any reply
//     if (now >= hedges.due()) ...     // ask another one:
//     hedges.hedge_sent(now, random);
class hedge_schedule
{
public:
    explicit hedge_schedule(hedge_options options = {});

    // The planned control host was asked.
    void request_sent(time_point now);

    // What this daemon runs holds all that was accepted at that moment.
    void advance_current_at(time_point current_at);

    // Another one was asked.
    void hedge_sent(time_point now, random_engine& random);

    // Not before this.
    [[nodiscard]] time_point due() const;

    [[nodiscard]] bool is_stale(time_point now) const
    {
        return now - current_at_ > options_.stale_after;
    }

    // The clock's start where nothing is known yet.
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
