// Which requests a process that is shutting down still hands to an upstream.
//
// Work that an upstream has begun can't be taken back: if the process ends
// first, the caller gets an answer with an unknown outcome in place of the
// upstream's. The only end of that work that all processes keep is the
// request's own time limit. So from a set moment of the shutdown on, a request
// is handed over only if its time limit ends before the process gives up.
//
//     drain_window drain;
//     drain.begin(now + bounded_after, now + give_up_after);
//     if (!drain.admits(now, deadline))
//     {
//         ... // refuse: the request hasn't run here
//     }
//
// Thread-safe; reads no clock.
#ifndef NUTMEGUSHER_NODE_DRAIN_WINDOW_HPP
#define NUTMEGUSHER_NODE_DRAIN_WINDOW_HPP

#include "nutmegusher/base/base.hpp"

#include <atomic>

namespace nutmegusher::node
{

class drain_window
{
public:
    // The process shuts down. Requests are handed over whatever their time
    // limit until `bounded_from`; at `give_up_at` those in flight get their
    // final answer. Requires: called at most once.
    void begin(time_point bounded_from, time_point give_up_at);

    // Whether a request whose time limit ends at `deadline` may be handed to an
    // upstream at `now`.
    [[nodiscard]] bool admits(time_point now, time_point deadline) const;

    // The time until the process gives up, when a later process may serve the
    // caller; zero if the process isn't shutting down or has given up.
    [[nodiscard]] duration time_left(time_point now) const;

private:
    std::atomic<time_point> bounded_from_ = time_point::max();
    std::atomic<time_point> give_up_at_ = time_point::max();
};

} // namespace nutmegusher::node

#endif
