// Runs events in order of time on a manual clock; events due at the same time
// run in the order they were added.
#ifndef NUTMEGUSHER_BENCH_POLICY_EVENT_QUEUE_HPP
#define NUTMEGUSHER_BENCH_POLICY_EVENT_QUEUE_HPP

#include "nutmegusher/base/base.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace nutmegusher::bench
{

class event_queue
{
public:
    [[nodiscard]] time_point now() const
    {
        return clock_.now();
    }

    // Time since the start of the replay.
    [[nodiscard]] duration elapsed() const
    {
        return clock_.now() - start_;
    }

    void at(time_point when, std::function<void()> what)
    {
        events_.push({std::max(when, now()), ++sequence_, std::move(what)});
    }

    void after(duration wait, std::function<void()> what)
    {
        at(now() + wait, std::move(what));
    }

    // Runs all events that are due earlier than `end` after the start.
    void run_until(duration end)
    {
        while (!events_.empty() && events_.top().when - start_ < end)
        {
            // Moving from the const top is safe: it only empties `what`, which
            // the order doesn't depend on, and the event is popped next.
            event next = std::move(const_cast<event&>(events_.top()));
            events_.pop();
            clock_.advance(next.when - clock_.now());
            next.what();
        }
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t sequence = 0;
        std::function<void()> what;

        bool operator<(const event& other) const
        {
            return std::pair(when, sequence) >
                   std::pair(other.when, other.sequence);
        }
    };

    manual_clock clock_;
    time_point start_ = manual_clock().now();
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
};

} // namespace nutmegusher::bench

#endif
