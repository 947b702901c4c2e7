// One lane of an upstream: a concurrency limit with a rank queue before it.
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

    // Decides on an arrival; calls that it displaces go into `out`.
    decision arrive(
        const call_info& call,
        time_point now,
        random_engine& engine,
        queue_outcomes& out);

    // A running call ended. False where it doesn't run here.
    bool finish(ticket_id ticket, call_result result, time_point now);

    // False where the call doesn't run here.
    bool sub_call_started(ticket_id ticket, time_point now);
    bool sub_call_ended(ticket_id ticket, time_point now);

    // A waiting call is given up. False where it doesn't wait here.
    bool cancel(ticket_id ticket);

    // Refuses what waited too long, then lets in what fits into `limit()`
    // and `cap`.
    void process_queue(
        std::size_t cap,
        time_point now,
        random_engine& engine,
        queue_outcomes& out);

    // Refuses all that waits.
    void refuse_all(
        refusal_reason reason,
        time_point now,
        random_engine& engine,
        queue_outcomes& out);

    // See `concurrency_limit`.
    void set_other_lane_dominates(bool hold)
    {
        limit_.set_other_lane_dominates(hold);
    }

    [[nodiscard]] bool take_contended()
    {
        return limit_.take_contended();
    }

    // Gives a fifth of the limit up, unless it is still on the way down.
    void yield(time_point now);

    void tick(time_point now);
    // See `admission_controller`.
    void on_pause(time_point now);
    void begin_warm_up(time_point now);

    [[nodiscard]] std::optional<time_point> next_event() const;
    [[nodiscard]] lane_level level(time_point now) const;
    // How long refused work of the marginal rank should stay away.
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
        // Sub-calls that haven't ended, since when, and for how long before.
        std::size_t open_sub_calls = 0;
        time_point sub_calls_since{};
        duration in_sub_calls{0};
        // Its time is partly a pause of this process.
        bool was_paused = false;
    };

    [[nodiscard]] std::size_t max_waiting() const;
    [[nodiscard]] double drain_per_second(time_point now) const;
    // What better ranks leave of it.
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
    // The calls that the upstream itself works on.
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
    // Moving mean of the time that a slot is taken, in seconds.
    double slot_time_ = 0;
};

} // namespace nutmegusher::internal

#endif
