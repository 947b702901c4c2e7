// The maximum number of calls in flight to one upstream, adapted to the latency
// of its answers.
//
//     concurrency_limit limit;
//     if (in_flight < limit.value())
//         limit.on_start(in_flight + 1, now);    // and start the call
//     limit.on_answer({started, inflation}, in_flight, now);
//
// Pattern of load: more is offered than the upstream has slots for, a service
// deep in the call path slows down, or the upstream restarts cold. With a fixed
// limit that is too high, the surplus waits inside the upstream, where rank and
// deadline no longer count; with one that is too low, slots stay empty.
//
// The input is latency inflation: an answer's latency divided by the no-load
// latency of its class. The mean over a window of answers that all started
// under the present limit is compared with two thresholds:
// - below `grow_threshold` the limit grows while it is fully used: by one per
//   answer up to the last limit known to be good, by a tenth per window beyond
//   it;
// - above `reduce_threshold` it is reduced in proportion, as a trial. If
//   latency stays high after the first reduction, a second one tests whether
//   the queue is in this upstream. Latency that doesn't fall with the limit is
//   caused elsewhere (by a deeper service), where fewer calls from here don't
//   help; the limit is restored and that latency becomes the baseline.
//
// A refusal by the upstream itself shows the exact number of its slots.
#ifndef NUTMEGUSHER_POLICY_CONCURRENCY_LIMIT_HPP
#define NUTMEGUSHER_POLICY_CONCURRENCY_LIMIT_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstddef>
#include <optional>

namespace nutmegusher
{

// One answer, or one call that timed out or failed on the way.
struct limit_sample
{
    time_point started;
    // Latency divided by the class's no-load latency.
    double inflation = 1.0;
    // The call timed out: the true inflation is higher.
    bool timed_out = false;
    // The call failed on the way, so its latency is a lower bound: it can show
    // that a queue is long, but not that it is short.
    bool partial = false;
};

class concurrency_limit
{
public:
    // The users' smallest upstream has 15 slots, so a new one is hardly
    // overloaded, and four doublings reach the largest (180).
    static constexpr std::size_t initial = 16;

    // With exponential service times, the mean over `window_samples` answers
    // has a standard error of 1 / sqrt(24) = 0.2, so noise alone stays within a
    // quarter of the mean. Below this threshold a queue can't be told from
    // noise.
    static constexpr double grow_threshold = 1.25;
    // Two and a half standard errors of the same mean.
    static constexpr double reduce_threshold = 1.5;
    static constexpr std::size_t window_samples = 24;

    // The number of calls that may be in flight; at least 1.
    [[nodiscard]] std::size_t value() const
    {
        return limit_;
    }

    // Reports that a call started; `in_flight` includes it.
    void on_start(std::size_t in_flight, time_point now);

    // Reports that the upstream made progress on a call without ending it.
    void on_progress(time_point now)
    {
        last_progress_ = now;
    }

    // Reports that a call ended or timed out; `in_flight` doesn't include it.
    void on_answer(
        const limit_sample& sample, std::size_t in_flight, time_point now);

    // Reports that the upstream refused a call for overload; `in_flight`
    // doesn't include it.
    void on_shed(std::size_t in_flight, time_point now);

    // Detects a stalled upstream: it works on calls, and there was no progress
    // for several times `typical`, the usual no-load latency. `working`: calls
    // in flight without those that wait for a sub-call. Call this at
    // `stall_at()`; calling it more often does no harm.
    void on_tick(std::size_t working, duration typical, time_point now);

    // When the upstream counts as stalled unless it makes progress before.
    [[nodiscard]] std::optional<time_point>
    stall_at(std::size_t working, duration typical) const;

    // Tells whether the other lane holds most of the upstream's slots. While it
    // does, inflation doesn't lower this limit but marks it as contended, and
    // the other lane is to reduce its own.
    void set_other_lane_dominates(bool dominates)
    {
        other_lane_dominates_ = dominates;
    }

    // Whether the limit was marked as contended since the last call; clears the
    // mark.
    [[nodiscard]] bool take_contended();

    // Makes room for the other lane: lowers the limit to four fifths of the
    // calls in flight and doesn't let it grow for a second.
    void yield(std::size_t in_flight, time_point now);

    // The upstream starts cold: resets the limit to `initial` and doubles it at
    // most once per `warm_up_step` until the upstream is filled.
    void begin_warm_up(time_point now);

    // With a fifth of a second, the limit reaches the users' largest number of
    // slots (180) within the second in which service has to recover, and the
    // upstream gets time to fill its caches at each step.
    static constexpr duration warm_up_step = std::chrono::milliseconds(200);

private:
    // Reductions whose effect isn't known yet. The inflation measured before
    // the first one lags behind while the limit grows, so it is no reference:
    // the inflation after the first reduction is compared with that after the
    // second.
    struct trial
    {
        // The limit to restore if the reductions don't help.
        std::size_t limit_before = 0;
        // The limit after the first reduction; 0: not measured yet.
        std::size_t reference_limit = 0;
        double reference_inflation = 0;
    };

    // Statistics of the calls that started and ended since the window was
    // opened.
    struct window
    {
        time_point opened;
        std::size_t samples = 0;
        std::size_t timeouts = 0;
        std::size_t partial = 0;
        double inflation_sum = 0;
        std::size_t peak_in_flight = 0;
    };

    [[nodiscard]] bool window_complete(time_point now) const;
    void grow_by_answer(std::size_t in_flight, double inflation);
    void close_window(std::size_t in_flight, time_point now);
    void evaluate_trial(double inflation);
    void begin_second_reduction(double inflation);
    void adjust(double inflation, time_point now);
    void grow(time_point now);
    void reduce(double factor);
    void set_limit(std::size_t limit);
    void open_window(std::size_t in_flight, time_point now);

    std::size_t limit_ = initial;
    // Growth is fast up to this limit and a tenth per window beyond it: the
    // highest limit that was in use before the last reduction.
    std::size_t known_good_;
    std::optional<trial> trial_;
    // Exponential moving average over answers.
    double recent_inflation_ = 1.0;
    // The baseline: inflation caused by other services, not by this upstream.
    double external_inflation_ = 1.0;
    window window_;
    time_point last_progress_;
    // No growth beyond `shed_ceiling_` before this time.
    time_point hold_until_;
    std::size_t shed_ceiling_;
    time_point last_growth_;
    bool warming_up_ = false;
    bool other_lane_dominates_ = false;
    bool contended_ = false;

public:
    concurrency_limit();
};

} // namespace nutmegusher

#endif
