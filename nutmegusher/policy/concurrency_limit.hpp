// How many calls one upstream is given at a time, learned from its answers.
//
//     concurrency_limit limit;
//     if (in_flight < limit.value()) { start(); limit.on_start(in_flight); }
//     limit.on_answer({started, inflation}, in_flight, now);
//
// Pattern of load: more is offered than the upstream has slots for, a deep
// service slows down, or the upstream restarts cold. With a fixed limit that
// is too high the surplus waits inside the upstream, where rank and deadline
// no longer count; with one that is too low, slots stay empty.
//
// The measure is inflation: an answer's latency over the no-load latency of
// its class. A window of answers that all started under the present limit is
// held against two thresholds:
// - below `grow_threshold` the limit grows while it is in use, by one with each
//   answer up to what was good before, in tenths beyond;
// - above `reduce_threshold` it falls in proportion, as a trial: where one fall
//   isn't enough, a second one tells whether the queue was ours. Latency that
//   doesn't fall with the limit comes from somewhere else (a deep service),
//   where fewer calls help nobody; the limit goes back and that latency becomes
//   the expected one.
// A refusal by the upstream itself shows the number of its slots exactly.
#ifndef NUTMEGUSHER_POLICY_CONCURRENCY_LIMIT_HPP
#define NUTMEGUSHER_POLICY_CONCURRENCY_LIMIT_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstddef>
#include <optional>

namespace nutmegusher
{

// One answer, or one call given up.
struct limit_sample
{
    time_point started;
    // Latency over the class's no-load latency.
    double inflation = 1.0;
    // The call was given up: the true inflation is higher.
    bool timed_out = false;
    // The call failed on the way: it shows a long queue, but no short one.
    bool partial = false;
};

class concurrency_limit
{
public:
    // The smallest upstream among the users' has 15 slots: a new one is hardly
    // overrun, and four doublings reach the largest (180).
    static constexpr std::size_t initial = 16;

    // Latency noise of a window of `window_samples` answers stays within a
    // quarter of its mean for exponential service times (1 / sqrt(24) = 0.2):
    // below it nothing is known to wait.
    static constexpr double grow_threshold = 1.25;
    // Two and a half deviations of the same noise.
    static constexpr double reduce_threshold = 1.5;
    static constexpr std::size_t window_samples = 24;

    // Calls that may run at a time; at least 1.
    [[nodiscard]] std::size_t value() const
    {
        return limit_;
    }

    // A call was started; `in_flight` counts it.
    void on_start(std::size_t in_flight, time_point now);

    // The upstream did something for a call without ending it.
    void on_progress(time_point now)
    {
        last_progress_ = now;
    }

    // A call ended with an answer or was given up; `in_flight` is without it.
    void on_answer(
        const limit_sample& sample, std::size_t in_flight, time_point now);

    // The upstream refused a call for overload; `in_flight` is without it.
    void on_shed(std::size_t in_flight, time_point now);

    // Looks for an upstream that has gone quiet: it works on calls, and none
    // has ended for several times `typical`, the usual no-load latency.
    // `working`: calls in flight without those that wait for a sub-call.
    // Call it at `stall_at()`; more often does no harm.
    void on_tick(std::size_t working, duration typical, time_point now);

    // When the upstream counts as stalled unless a call ends before.
    [[nodiscard]] std::optional<time_point>
    stall_at(std::size_t working, duration typical) const;

    // Others hold most of the upstream's slots: inflation is theirs to mend.
    // While set, it doesn't lower this limit but marks it as `strained`.
    void set_other_lane_dominates(bool hold)
    {
        other_lane_dominates_ = hold;
    }

    // Whether inflation was marked since the last call.
    [[nodiscard]] bool take_contended();

    // Makes room for others: falls to four fifths of what is in flight and
    // stays there for a second.
    void yield(std::size_t in_flight, time_point now);

    // The upstream starts cold: begin low, and double at most once every
    // `warm_up_step` until it is filled.
    void begin_warm_up(time_point now);

    // A fifth of a second: a cold upstream reaches the largest number of
    // slots among the users' (180) within the second in which service has to
    // be back, and gets time to fill caches at each step.
    static constexpr duration warm_up_step = std::chrono::milliseconds(200);

private:
    // Falls whose effect isn't known yet. The inflation before the first one
    // lags behind while the limit grows, so the first is only the start: what
    // it leads to is held against what a second one leads to.
    struct trial
    {
        // Goes back to this if the falls don't help.
        std::size_t limit_before = 0;
        // After the first fall; 0: not known yet.
        std::size_t reference_limit = 0;
        double reference_inflation = 0;
    };

    // The answers since the limit was last set.
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
    // Growth doubles up to here and goes in tenths beyond: the highest limit
    // that was in use before the last fall.
    std::size_t known_good_;
    std::optional<trial> trial_;
    // Moving mean over answers.
    double recent_inflation_ = 1.0;
    // The inflation that isn't ours.
    double external_inflation_ = 1.0;
    window window_;
    time_point last_progress_;
    // No growth beyond `shed_ceiling_` before this.
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
