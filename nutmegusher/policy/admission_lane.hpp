// One lane of an upstream: a concurrency limit with a rank queue in front of
// it.
#ifndef NUTMEGUSHER_POLICY_ADMISSION_LANE_HPP
#define NUTMEGUSHER_POLICY_ADMISSION_LANE_HPP

#include "nutmegusher/base/random.hpp"
#include "nutmegusher/policy/call.hpp"
#include "nutmegusher/policy/concurrency_limit.hpp"
#include "nutmegusher/policy/load_meter.hpp"
#include "nutmegusher/policy/rank_queue.hpp"
#include "nutmegusher/policy/retry_after_schedule.hpp"
#include "nutmegusher/policy/service_times.hpp"

#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

namespace nutmegusher::internal
{

class admission_lane
{
public:
    using queue_outcomes = std::vector<queue_outcome>;

    // Decides on a new call; calls that it evicts are appended to `out`.
    decision arrive(
        const call_info& call,
        time_point now,
        random_engine& engine,
        queue_outcomes& out);

    // Reports that a running call ended. Returns false if it doesn't run in
    // this lane.
    bool finish(ticket_id ticket, call_result result, time_point now);

    // Return false if the call doesn't run in this lane.
    bool sub_call_started(ticket_id ticket, time_point now);
    bool sub_call_ended(ticket_id ticket, time_point now);

    // Removes a waiting call. Returns false if it doesn't wait in this lane.
    bool cancel(ticket_id ticket);

    // Refuses calls that waited too long, then admits waiting calls while fewer
    // than `limit()` and `cap` run.
    void process_queue(
        std::size_t cap,
        time_point now,
        random_engine& engine,
        queue_outcomes& out);

    // Refuses all waiting calls.
    void refuse_all(
        refusal_reason reason,
        time_point now,
        random_engine& engine,
        queue_outcomes& out);

    // See `concurrency_limit`.
    void set_other_lane_dominates(bool dominates)
    {
        limit_.set_other_lane_dominates(dominates);
    }

    [[nodiscard]] bool take_contended()
    {
        return limit_.take_contended();
    }

    // Lowers the limit by a fifth in favour of the other lane, unless more
    // calls than the limit are still in flight after an earlier reduction.
    void yield(time_point now);

    void tick(time_point now);
    // See `admission_controller`.
    void on_pause(time_point now);
    void begin_warm_up(time_point now);

    [[nodiscard]] std::optional<time_point> next_event() const;
    [[nodiscard]] lane_level level(time_point now) const;
    // How long a caller that is refused at the level's rank should wait before
    // it retries.
    [[nodiscard]] duration retry_after(std::uint8_t rank, time_point now) const;

    [[nodiscard]] std::size_t limit() const
    {
        return limit_.value();
    }

    [[nodiscard]] std::size_t in_flight() const
    {
        return running_.size();
    }

    [[nodiscard]] std::size_t waiting() const
    {
        return queue_.size();
    }

private:
    struct running_call
    {
        time_point started;
        std::uint64_t work_class = 0;
        // Open sub-calls, the time since which at least one has been open, and
        // the total time before that in which one was.
        std::size_t open_sub_calls = 0;
        time_point sub_calls_since{};
        duration in_sub_calls{0};
        // This process was paused while the call ran.
        bool was_paused = false;
    };

    [[nodiscard]] std::size_t max_waiting() const;
    [[nodiscard]] double drain_per_second(time_point now) const;
    // The part of `drain_per_second` that better ranks leave to this one.
    [[nodiscard]] double
    available_per_second(std::uint8_t rank, time_point now) const;
    [[nodiscard]] duration
    predicted_wait(const call_info& call, time_point now) const;
    refused refuse(
        const call_info& call,
        refusal_reason reason,
        time_point now,
        random_engine& engine);
    decision enqueue(
        const call_info& call,
        time_point latest_start,
        time_point now,
        random_engine& engine,
        queue_outcomes& out);
    void start(const call_info& call, time_point now);
    void
    record_result(const running_call& call, call_result result, time_point now);
    // Running calls that aren't waiting for a sub-call.
    [[nodiscard]] std::size_t working() const
    {
        return running_.size() - in_sub_calls_;
    }

    concurrency_limit limit_;
    rank_queue queue_;
    service_times times_;
    load_meter meter_;
    std::array<retry_after_schedule, rank_count> retry_schedules_;
    std::unordered_map<ticket_id, running_call> running_;
    std::size_t in_sub_calls_ = 0;
    // Exponential moving average of the slot time, in seconds.
    double slot_time_ = 0;
};

} // namespace nutmegusher::internal

#endif
