// The upstream's service times per class, estimated from its answers.
//
// Pattern of load: a call waits, runs, and its result is wasted because its
// deadline passed in between. To refuse it before it starts, its run time must
// be known, and the upstream's health endpoint doesn't report it.
#ifndef NUTMEGUSHER_POLICY_SERVICE_TIMES_HPP
#define NUTMEGUSHER_POLICY_SERVICE_TIMES_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstdint>
#include <unordered_map>

namespace nutmegusher::internal
{

// How long one call took: `total` as its caller saw it, `own` without the time
// in sub-calls.
struct call_time
{
    duration total{0};
    duration own{0};
};

// Estimates for one class, in seconds.
struct class_times
{
    // Exponential moving average of the total time. 0: no answer yet.
    double recent = 0;
    // Exponential moving average of the own time over four times as many
    // answers.
    double slow_mean = 0;
    // Average own time at low load. 0: no answer yet.
    double no_load = 0;
    time_point last_sample;
    std::uint64_t samples = 0;
};

class service_times
{
public:
    // Records that an answer took `time`. `low_load`: the upstream had spare
    // slots, so the sample counts towards the no-load time. Returns the
    // answer's own time divided by the no-load time.
    double record(
        std::uint64_t work_class,
        call_time time,
        bool low_load,
        time_point now);

    // Records that a call was abandoned after `time`, a lower bound of what it
    // would have taken. Returns its own time divided by the no-load time.
    double record_lower_bound(
        std::uint64_t work_class, call_time time, time_point now);

    // The expected total time of a call of the class; zero if unknown. Without
    // new samples the estimate halves every `half_life`, so that a class that
    // was refused for being too slow is tried again.
    [[nodiscard]] duration
    expected(std::uint64_t work_class, time_point now) const;

    // The no-load own time of a call of the class; zero if unknown.
    [[nodiscard]] duration no_load(std::uint64_t work_class) const;

    // The average no-load time over the classes, weighted by recent answers.
    // Zero if unknown.
    [[nodiscard]] duration typical() const;

    // With half a second, a refused class is tried twice within the second in
    // which service has to recover after a surge.
    static constexpr duration half_life = std::chrono::milliseconds(500);

private:
    void update_no_load(class_times& times, double seconds, bool low_load);

    std::unordered_map<std::uint64_t, class_times> classes_;
    double typical_ = 0;
    std::uint64_t samples_ = 0;
};

} // namespace nutmegusher::internal

#endif
