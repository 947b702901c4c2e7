// Admission at one upstream: every call of the daemon beside it passes here.
//
//     admission_controller admission(seed);
//     arrival_result at = admission.arrive(info, now);
//     // `at.verdict`: run it, let it wait, or answer the refusal.
//     // `at.outcomes`: calls that waited and are now admitted or refused.
//     for (const queue_outcome& each : admission.finish(ticket, result, now))
//         resume_or_answer(each);
//     wake_at(admission.next_event());   // then call `tick(now)`
//
// Pattern of load: saturation. The most important calls are let in first and
// refused last; what can't finish in time is refused before it starts; a call
// that waits gives way to one of a better rank; customers of one rank take
// turns. Without it all calls wait in one line until their callers are gone,
// and the upstream is busy with answers that nobody takes.
//
// Long transfers (`call_info::bulk`) and short calls have a lane each, with
// a limit and a queue of its own: a download holds a slot for seconds and
// would teach the short calls' limit nothing. Where short calls get slower
// while transfers hold most of the slots, the transfers' limit falls and not
// that of the short calls; and while short calls wait, the bulk lane keeps to
// half of both limits.
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

// What `arrive` decided. `outcomes` is valid until the next call.
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
    // `seed` spreads the times to come back: another one for each upstream.
    explicit admission_controller(std::uint64_t seed);

    // Decides on a new call. Requires: its ticket is neither waiting nor
    // running here.
    arrival_result arrive(const call_info& call, time_point now);

    // An admitted call ended. Unknown tickets change nothing. The span is
    // valid until the next call, as with the other functions.
    std::span<const queue_outcome>
    finish(ticket_id ticket, call_result result, time_point now);

    // The upstream made a sub-call for this call, and got its answer. The time
    // in between isn't the upstream's own: a slow deep service must not lower
    // the limits of all the services above it.
    void sub_call_started(ticket_id ticket, time_point now);
    void sub_call_ended(ticket_id ticket, time_point now);

    // The caller went away. A waiting call is dropped (it gets no settlement
    // of its own), a running one ends as `call_result::cancelled`.
    std::span<const queue_outcome> cancel(ticket_id ticket, time_point now);

    // Time has passed: refuses what waited too long, notices a stall.
    std::span<const queue_outcome> tick(time_point now);

    // When `tick` has something to do next.
    [[nodiscard]] std::optional<time_point> next_event() const;

    // What is refused now, for the answers.
    [[nodiscard]] admission_level level(time_point now) const;

    // This process didn't run for a while, until now: it was stopped, or
    // starved. What the calls that run take says nothing of the upstream then.
    // Tell it before the ends and arrivals that were waiting.
    void on_pause(time_point now);

    // The upstream starts, or has started again.
    void begin_warm_up(time_point now);

    // From now on all new calls and all waiting ones are refused with
    // `leaving`; running ones go on. False: takes work again.
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
