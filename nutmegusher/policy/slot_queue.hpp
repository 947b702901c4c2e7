// Admission control for an upstream that reports how many calls it serves
// concurrently (its slots).
//
//     slot_queue queue(seed);
//     queue.set_slots(44, now);
//     arrival_result at = queue.arrive(info, now);
//     for (const queue_outcome& each : queue.finish(ticket, result, now))
//         resume_or_answer(each);
//     wake_at(queue.next_event());   // then call `tick(now)`
//
// Pattern of load: more calls than slots. An upstream that gets more calls than
// it has slots queues them in order of arrival and refuses the surplus whatever
// its importance. Here calls wait in front of the upstream, where more
// important ones can still go first, and ones that would miss their deadline
// can be refused with the guarantee that they didn't run.
//
// - In a short queue, calls start in order of the latest start at which each
//   still meets its own target, whatever its rank. The queue counts as short
//   while the first call of the best rank would meet its target even behind all
//   others. A short call of a worse rank then costs the others nothing and
//   isn't late behind calls that have time.
// - Otherwise calls start by rank, and within a rank the earliest deadline
//   first. A sub-call's deadline is at most its request's, so sub-calls of
//   requests with short deadlines and of requests that have already waited go
//   first at every service of a call path. In order of arrival, 15 in 100
//   lookups with a target of 120 ms were late behind calls with one of 300 ms.
//   Where requests have teams, their calls of one rank take turns instead; see
//   `team_turns`.
// - A call is refused at once if it couldn't finish before its deadline, judged
//   by the recent slot times of its class; a waiting call is refused as soon as
//   that becomes true. An estimate that no call of the class would correct is
//   ignored; see `slot_times`.
// - Expected times follow the pace that the upstream reports of its host: one
//   that works 2.5 times slower for half a second isn't known by its slot times
//   until calls have ended. Calls that ran in such a time say nothing of the
//   usual slot time.
#ifndef NUTMEGUSHER_POLICY_SLOT_QUEUE_HPP
#define NUTMEGUSHER_POLICY_SLOT_QUEUE_HPP

#include "nutmegusher/base/random.hpp"
#include "nutmegusher/policy/admission_controller.hpp"
#include "nutmegusher/policy/call.hpp"
#include "nutmegusher/policy/rate_meter.hpp"
#include "nutmegusher/policy/reported_load.hpp"
#include "nutmegusher/policy/retry_after_schedule.hpp"
#include "nutmegusher/policy/shed_control.hpp"
#include "nutmegusher/policy/slot_times.hpp"
#include "nutmegusher/policy/team_turns.hpp"
#include "nutmegusher/policy/useful_slots.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace nutmegusher
{

// For the state dump.
struct slot_queue_state
{
    // The number of slots in use, as limited by `useful_slots` and by the rate
    // limit: no more than calls started at that rate occupy.
    std::size_t slots = 0;
    std::size_t running = 0;
    std::size_t waiting = 0;
    bool leaving = false;
    // As computed by `shed_control`.
    double demand = 0;
    double shed_level = 0;
    // Exponential moving average of the slot time at the host's usual pace;
    // longer if the upstream takes less than one call in that time.
    duration slot_time{0};
    // In calls a second.
    std::optional<double> rate_limit;
    // Calls refused because of their class's estimate, though a slot was free.
    std::uint64_t refused_by_estimate = 0;
};

// The spans that member functions return are valid until the next member
// function call.
class slot_queue
{
public:
    // `seed` randomizes the retry-after times; use a different seed for each
    // upstream.
    explicit slot_queue(std::uint64_t seed);

    // Sets how many calls the upstream serves concurrently; 0: no call is
    // admitted.
    std::span<const queue_outcome> set_slots(std::size_t slots, time_point now);

    // Sets how many calls a second the upstream takes; nullopt: any number.
    // Calls that it has no room for wait like those that find no slot.
    std::span<const queue_outcome>
    set_rate_limit(std::optional<double> calls_per_second, time_point now);

    // Decides on a new call. Requires: no call with its ticket waits or runs
    // here.
    arrival_result arrive(const call_info& call, time_point now);

    // Reports that an admitted call ended. Unknown tickets are ignored.
    std::span<const queue_outcome>
    finish(ticket_id ticket, call_result result, time_point now);

    // Reports that the call's caller went away. A waiting call is dropped
    // without an outcome of its own; a running one ends as
    // `call_result::cancelled`.
    std::span<const queue_outcome> cancel(ticket_id ticket, time_point now);

    // Refuses waiting calls that can no longer finish before their deadline,
    // and starts those that the rate limit has room for.
    std::span<const queue_outcome> tick(time_point now);

    // When `tick` has to be called next.
    [[nodiscard]] std::optional<time_point> next_event() const;

    // When the rate limit has room for a waiting call; `tick` starts it. None
    // if no call waits or there is no limit.
    [[nodiscard]] std::optional<time_point> next_limited_start() const;

    // Reports that a new process of the upstream started: it runs none of the
    // calls admitted before, and the slot times of the earlier process don't
    // apply to it. Waiting calls keep waiting.
    std::span<const queue_outcome> restart(time_point now);

    // Reports that the upstream made a sub-call. Its slot times then depend on
    // other services and say little about its slots, so all of its slots are
    // used.
    void note_sub_call(time_point now);

    // How long work takes on the upstream's host at this moment, in percent of
    // the usual time; 0: not reported. Holds for
    // `last_reported_load::lifetime`.
    void set_pace(std::uint32_t percent, time_point now);

    // With true, all new and all waiting calls are refused with
    // `refusal_reason::leaving` from now on; running ones continue. With false,
    // calls are accepted again.
    std::span<const queue_outcome> set_leaving(bool leaving, time_point now);

    // The shed level for the entries; see `shed_control`.
    [[nodiscard]] double shed_level() const
    {
        return shed_.level();
    }

    [[nodiscard]] slot_queue_state state() const;

    // The longest slot time that is estimated for any class.
    [[nodiscard]] duration longest_slot_time() const
    {
        return times_.longest();
    }

private:
    using position = internal::queue_place;

    struct waiting_call
    {
        call_info info;
        // The time by which the call meets its target, and the latest start for
        // that.
        time_point target_end;
        time_point latest_start;
    };

    using waiting_calls = std::map<position, waiting_call>;

    struct running_call
    {
        std::uint64_t work_class = 0;
        time_point since;
        time_point deadline;
        bool is_probe = false;
        double pace_factor = 1;
        useful_slots::start started_under;
    };

    [[nodiscard]] position position_of(const call_info& call) const;
    void add_waiting(const position& at, const call_info& call, time_point now);
    waiting_calls::iterator remove_waiting(waiting_calls::iterator at);
    [[nodiscard]] waiting_calls::iterator next_to_start(time_point now);
    [[nodiscard]] double calls_per_second(time_point now) const;
    [[nodiscard]] double capacity() const;
    [[nodiscard]] bool can_start(time_point now) const;
    [[nodiscard]] duration
    expected_wait(std::size_t ahead, time_point now) const;
    [[nodiscard]] std::size_t
    ahead_of(const position& one, std::uint64_t team) const;
    void add_turn(const position& at, std::uint64_t team);
    void remove_turn(const position& at, std::uint64_t team);
    // The present slot time over the usual one.
    [[nodiscard]] double pace_factor(time_point now) const;
    // At the present pace.
    [[nodiscard]] duration
    expected_slot_time(std::uint64_t work_class, time_point now) const;
    [[nodiscard]] duration mean_slot_time(time_point now) const;
    [[nodiscard]] bool
    misses_deadline(const call_info& call, duration wait, time_point now) const;
    [[nodiscard]] refused
    refuse(refusal_reason reason, const call_info& call, time_point now);
    void start(const call_info& call, time_point now);
    void admit_waiting(time_point now);
    void
    record_end(const running_call& ended, call_result result, time_point now);
    void update_shed(time_point now);
    [[nodiscard]] bool makes_sub_calls(time_point now) const;
    void update_limit(time_point now);

    // The slots that the upstream reports, and the number of them in use.
    std::size_t slots_ = 0;
    std::size_t limit_ = 0;
    useful_slots useful_;
    rate_meter meter_;
    std::optional<time_point> sub_call_at_;
    bool leaving_ = false;
    std::uint64_t arrivals_ = 0;
    waiting_calls waiting_;
    // For each rank with waiting calls of teams.
    std::map<std::uint8_t, internal::team_turns> turns_;
    std::uint32_t pace_ = 0;
    time_point pace_at_;
    std::set<std::pair<time_point, position>> by_latest_start_;
    std::unordered_map<ticket_id, position> positions_;
    std::unordered_map<ticket_id, running_call> running_;
    internal::slot_times times_;
    std::uint64_t refused_by_estimate_ = 0;
    shed_control shed_;
    std::map<std::uint8_t, retry_after_schedule> retry_schedules_;
    random_engine engine_;
    std::vector<queue_outcome> outcomes_;
};

} // namespace nutmegusher

#endif
