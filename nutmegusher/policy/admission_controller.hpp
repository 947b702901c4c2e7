// Admission control for one upstream. Every call that the daemon passes to the
// upstream on its host goes through this class.
//
//     admission_controller admission(seed);
//     arrival_result at = admission.arrive(info, now);
//     // `at.verdict`: run it, let it wait, or answer the refusal.
//     // `at.outcomes`: calls that waited and are now admitted or refused.
//     for (const queue_outcome& each : admission.finish(ticket, result, now))
//         resume_or_answer(each);
//     wake_at(admission.next_event());   // then call `tick(now)`
//
// Pattern of load: saturation. The most important calls are admitted first and
// refused last; a call that can't finish in time is refused before it starts; a
// waiting call can be evicted by one of a better rank; customers of the same
// rank are served round robin. Without this, all calls wait in one FIFO queue
// until their callers have given up, and the upstream computes answers that
// nobody reads.
//
// Long transfers (`call_info::bulk`) and short calls have separate lanes, each
// with its own concurrency limit and queue: a download holds a slot for
// seconds, and its latency says nothing about the right limit for short calls.
// If short calls slow down while transfers hold most of the slots, the
// transfers' limit is reduced and that of the short calls isn't. While short
// calls wait, the bulk lane uses at most half of the two limits together.
#ifndef NUTMEGUSHER_POLICY_ADMISSION_CONTROLLER_HPP
#define NUTMEGUSHER_POLICY_ADMISSION_CONTROLLER_HPP

#include "nutmegusher/base/random.hpp"
#include "nutmegusher/policy/admission_lane.hpp"
#include "nutmegusher/policy/admission_level.hpp"
#include "nutmegusher/policy/call.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace nutmegusher
{

// The decision on the arriving call, and the outcomes of waiting calls that it
// caused. `outcomes` is valid until the next member function call.
struct arrival_result
{
    decision verdict;
    std::span<const queue_outcome> outcomes;
};

// For the state dump.
struct lane_state
{
    std::size_t limit = 0;
    std::size_t in_flight = 0;
    std::size_t waiting = 0;
};

struct admission_state
{
    lane_state short_lane;
    lane_state bulk_lane;
    bool leaving = false;
};

class admission_controller
{
public:
    // `seed` randomizes the retry-after times; use a different seed for each
    // upstream.
    explicit admission_controller(std::uint64_t seed);

    // Decides on a new call. Requires: no call with its ticket waits or runs
    // here.
    arrival_result arrive(const call_info& call, time_point now);

    // Reports that an admitted call ended. Unknown tickets are ignored. The
    // returned span is valid until the next member function call; this holds
    // for the other functions as well.
    std::span<const queue_outcome>
    finish(ticket_id ticket, call_result result, time_point now);

    // Report that the upstream made a sub-call for this call, and that the
    // sub-call ended. The time in between isn't counted as the upstream's own:
    // a slow service further down the call path must not lower the limits of
    // all services above it.
    void sub_call_started(ticket_id ticket, time_point now);
    void sub_call_ended(ticket_id ticket, time_point now);

    // Reports that the caller went away. A waiting call is dropped without an
    // outcome of its own; a running one ends as `call_result::cancelled`.
    std::span<const queue_outcome> cancel(ticket_id ticket, time_point now);

    // Refuses calls that waited too long and detects a stalled upstream.
    std::span<const queue_outcome> tick(time_point now);

    // When `tick` has to be called next.
    [[nodiscard]] std::optional<time_point> next_event() const;

    // What is refused at present, to be sent with answers.
    [[nodiscard]] admission_level level(time_point now) const;

    // Reports that this process didn't run for a while until now because it was
    // stopped or starved of CPU time. The latency of calls that were running
    // then isn't attributed to the upstream. Call this before reporting the
    // ends and arrivals that accumulated during the pause.
    void on_pause(time_point now);

    // Reports that the upstream has started or restarted.
    void begin_warm_up(time_point now);

    // With true, all new and all waiting calls are refused with
    // `refusal_reason::leaving` from now on; running ones continue. With false,
    // calls are accepted again.
    std::span<const queue_outcome> set_leaving(bool leaving, time_point now);

    [[nodiscard]] admission_state state() const;

private:
    internal::admission_lane& lane_for(bool bulk);
    [[nodiscard]] std::size_t bulk_cap() const;
    void process_queue(time_point now);
    void balance_lanes(time_point now);
    std::optional<decision> take_outcome_of(ticket_id ticket);

    internal::admission_lane short_lane_;
    internal::admission_lane bulk_lane_;
    bool leaving_ = false;
    random_engine engine_;
    std::vector<queue_outcome> outcomes_;
};

} // namespace nutmegusher

#endif
