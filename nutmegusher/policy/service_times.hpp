// How long the upstream takes, learned per class from its own answers.
//
// Pattern of load: a call waits, runs and is thrown away because its deadline
// passed in between. To refuse it before it starts one must know how long it
// will run, and its health endpoint doesn't tell.
#ifndef NUTMEGUSHER_POLICY_SERVICE_TIMES_HPP
#define NUTMEGUSHER_POLICY_SERVICE_TIMES_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstdint>
#include <unordered_map>

namespace nutmegusher::internal
{

// How long one call took: as its caller saw it, and without sub-calls.
struct call_time
{
    duration total{0};
    duration own{0};
};

// Recent and no-load times of one class.
struct class_times
{
    // Moving mean of recent answers, whole, in seconds. 0: none seen yet.
    double recent = 0;
    // The same of their own time, over four times as many answers.
    double slow_mean = 0;
    // The mean own time while the upstream had room. 0: none seen yet.
    double no_load = 0;
    time_point last_sample;
    std::uint64_t samples = 0;
};

class service_times
{
public:
    // An answer took `time`. `low_load`: the upstream had room when it came,
    // so that it counts towards the no-load time.
    // Returns how many times the no-load time its own time is.
    double record(
        std::uint64_t work_class,
        call_time time,
        bool low_load,
        time_point now);

    // A call was given up after `time`: what it takes is at least that.
    // Returns how many times the no-load time that is.
    double record_lower_bound(
        std::uint64_t work_class, call_time time, time_point now);

    // What a call of the class will take, most likely. Zero where nothing is
    // known. Without new samples the estimate halves every `half_life`, so that
    // a class that was refused for being too slow is tried again.
    [[nodiscard]] duration
    expected(std::uint64_t work_class, time_point now) const;

    // The upstream's own part of a call without load; zero where unknown.
    [[nodiscard]] duration no_load(std::uint64_t work_class) const;

    // The mean no-load time over the classes, weighed by recent answers.
    // Zero where nothing is known.
    [[nodiscard]] duration typical() const;

    // Half a second: two tries of a refused class within the second in which
    // service has to be back after a surge.
    static constexpr duration half_life = std::chrono::milliseconds(500);

private:
    void update_no_load(class_times& times, double seconds, bool low_load);

    std::unordered_map<std::uint64_t, class_times> classes_;
    double typical_ = 0;
    std::uint64_t samples_ = 0;
};

} // namespace nutmegusher::internal

#endif
