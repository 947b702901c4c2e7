// Naive decisions as the baseline for the shipped ones, with the same
// interfaces: a fixed limit, a first-in-first-out queue, round robin, no gate,
// and three tries per hop. For benchmarks and tests only.
#ifndef NUTMEGUSHER_BENCH_POLICY_NAIVE_HPP
#define NUTMEGUSHER_BENCH_POLICY_NAIVE_HPP

#include "nutmegusher/policy/policy.hpp"

#include <deque>
#include <optional>
#include <span>
#include <unordered_set>
#include <vector>

namespace nutmegusher::bench
{

class naive_admission
{
public:
    // Admits `limit` calls at a time and queues up to `connections - limit`.
    naive_admission(std::size_t limit, std::size_t connections);

    arrival_result arrive(const call_info& call, time_point now);
    std::span<const queue_outcome>
    finish(ticket_id ticket, call_result result, time_point now);
    std::span<const queue_outcome> cancel(ticket_id ticket, time_point now);
    std::span<const queue_outcome> tick(time_point now);
    void sub_call_started(ticket_id, time_point)
    {
    }
    void sub_call_ended(ticket_id, time_point)
    {
    }
    [[nodiscard]] std::optional<time_point> next_event() const;
    [[nodiscard]] admission_level level(time_point now) const;

private:
    std::size_t limit_;
    std::size_t max_waiting_;
    std::unordered_set<ticket_id> running_;
    std::deque<ticket_id> queue_;
    std::vector<queue_outcome> outcomes_;
};

class naive_router
{
public:
    void update(std::span<const candidate> candidates, time_point now);
    std::optional<upstream_handle> choose(
        const call_info& call,
        std::span<const upstream_handle> tried,
        time_point now,
        random_engine& engine);
    [[nodiscard]] bool has_alternative(
        const call_info& call,
        std::span<const upstream_handle> tried,
        time_point now) const;
    void on_start(upstream_handle, bool, time_point)
    {
    }
    void on_answer(upstream_handle, bool, duration, time_point)
    {
    }
    void on_failure(upstream_handle, bool, time_point)
    {
    }
    void on_silent(upstream_handle, bool, time_point)
    {
    }
    void on_neutral(upstream_handle, bool, time_point)
    {
    }
    void on_level(upstream_handle, const admission_level&, time_point)
    {
    }

private:
    std::vector<candidate> candidates_;
    std::size_t next_ = 0;
};

// Allows three tries if repeating is safe, without regard to retry tokens.
[[nodiscard]] retry_decision naive_retry(const failed_try& failed);

} // namespace nutmegusher::bench

#endif
