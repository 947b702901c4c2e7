// Estimates how long a call of each class occupies a slot of the upstream.
//
//     times.on_start(work_class);
//     times.on_end(work_class, {slot_time, true, was_probe}, now);
//     if (times.is_current(work_class, now) &&
//         now + times.expected(work_class) >= deadline)
//         refuse();
//
// Pattern of failure: the upstream, or this process, stands still for a second.
// The calls that ran meanwhile make the estimate longer than the time limit of
// their class. No call of the class starts any more, so none ends, and the
// estimate, which only calls that end can correct, refuses the class for good
// at an idle upstream.
//
// So an estimate justifies a refusal only while it is current: while a call of
// the class runs, whose end will correct it, or shortly after one has ended.
// Otherwise one call of the class, a probe, may start whatever the estimate is.
#ifndef NUTMEGUSHER_POLICY_SLOT_TIMES_HPP
#define NUTMEGUSHER_POLICY_SLOT_TIMES_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace nutmegusher::internal
{

class slot_times
{
public:
    // What the end of a call says of the slot time of its class.
    struct sample
    {
        duration slot_time{0};
        // False: the call was given up, so `slot_time` is a lower bound.
        bool is_complete = true;
        // The call started although the estimate exceeded its time left.
        bool was_probe = false;
    };

    void on_start(std::uint64_t work_class);

    // A call of the class has ended, and its slot time is known.
    void
    on_end(std::uint64_t work_class, const sample& measured, time_point now);

    // A call of the class has ended, and its slot time isn't known.
    void on_end(std::uint64_t work_class, time_point now);

    // Forgets everything, running calls included.
    void clear();

    // Whether the estimate may be used to refuse a call.
    [[nodiscard]] bool
    is_current(std::uint64_t work_class, time_point now) const;

    // Zero before the first sample.
    [[nodiscard]] duration expected(std::uint64_t work_class) const;

    // The average over all classes; zero before the first sample.
    [[nodiscard]] duration mean() const;

    // The longest estimate of any class.
    [[nodiscard]] duration longest() const;

    [[nodiscard]] bool has_running(std::uint64_t work_class) const;

    // How long an estimate is current after a call of the class has ended.
    static constexpr duration lifetime = std::chrono::milliseconds(100);

    // Bound on the number of classes; a deployment has tens. Further ones have
    // no estimate.
    static constexpr std::size_t max_classes = 4096;

private:
    struct class_times
    {
        // Exponential moving average in seconds; 0: no sample yet.
        double mean = 0;
        std::size_t running = 0;
        time_point last_end;
    };

    class_times* end_one(std::uint64_t work_class, time_point now);
    [[nodiscard]] const class_times* find(std::uint64_t work_class) const;

    std::unordered_map<std::uint64_t, class_times> classes_;
    double mean_ = 0;
    time_point last_end_;
};

} // namespace nutmegusher::internal

#endif
