#include "nutmegusher/policy/service_times.hpp"

#include <algorithm>
#include <cmath>

namespace nutmegusher::internal
{

namespace
{

// Averages follow a change within about eight answers and suppress two thirds
// of the noise.
constexpr double recent_weight = 1.0 / 8;
// The no-load time is the reference for latency: it changes four times as
// slowly, so that a short slowdown doesn't become the reference.
constexpr double no_load_weight = recent_weight / 4;
// The first samples count towards the no-load time whatever the load, as there
// is no better estimate: two rounds of the initial concurrency limit. One round
// isn't enough, since its first answers are its fastest.
constexpr std::uint64_t initial_samples = 32;
// Classes are declared by operators; more than this indicates a fault
// elsewhere, and further ones are served without an estimate.
constexpr std::size_t max_classes = 4096;

double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

// Adds a sample to an exponential moving average. The first samples are
// averaged with equal weights, as the very first would otherwise dominate for
// long.
void update_mean(
    double& mean, double sample, double weight, std::uint64_t samples)
{
    const double equal_weight = 1.0 / static_cast<double>(samples);
    mean += (sample - mean) * std::max(weight, equal_weight);
}

// Two standard deviations of `slow_mean` for exponential service times: a value
// below this fraction of the no-load time isn't noise.
constexpr double no_load_tolerance = 0.8;

double inflation(const class_times& times, double seconds)
{
    return times.no_load > 0 ? seconds / times.no_load : 1.0;
}

} // namespace

double service_times::record(
    std::uint64_t work_class, call_time time, bool low_load, time_point now)
{
    if (classes_.size() >= max_classes && !classes_.contains(work_class))
    {
        return 1.0;
    }
    class_times& times = classes_[work_class];
    const double seconds = to_seconds(time.own);
    ++times.samples;
    update_mean(
        times.recent, to_seconds(time.total), recent_weight, times.samples);
    update_mean(times.slow_mean, seconds, no_load_weight, times.samples);
    times.last_sample = now;
    update_no_load(times, seconds, low_load);
    update_mean(typical_, times.no_load, no_load_weight, ++samples_);
    return inflation(times, seconds);
}

void service_times::update_no_load(
    class_times& times, double seconds, bool low_load)
{
    if (low_load || times.samples <= initial_samples)
    {
        update_mean(times.no_load, seconds, no_load_weight, times.samples);
    }
    // Own times under load are never shorter than without load, so if they are,
    // the no-load time was measured under load and is too long.
    if (times.slow_mean < times.no_load * no_load_tolerance)
    {
        times.no_load = times.slow_mean;
    }
}

double service_times::record_lower_bound(
    std::uint64_t work_class, call_time time, time_point now)
{
    const auto found = classes_.find(work_class);
    if (found == classes_.end())
    {
        return 1.0;
    }
    class_times& times = found->second;
    const double seconds = to_seconds(time.own);
    const double total = to_seconds(time.total);
    if (total > times.recent)
    {
        update_mean(times.recent, total, recent_weight, times.samples);
        times.last_sample = now;
    }
    return inflation(times, seconds);
}

duration service_times::expected(std::uint64_t work_class, time_point now) const
{
    const auto found = classes_.find(work_class);
    if (found == classes_.end())
    {
        return duration(0);
    }
    const class_times& times = found->second;
    const double idle = to_seconds(now - times.last_sample);
    const double halvings = std::max(0.0, idle / to_seconds(half_life) - 1.0);
    return from_seconds(times.recent * std::exp2(-halvings));
}

duration service_times::no_load(std::uint64_t work_class) const
{
    const auto found = classes_.find(work_class);
    return found == classes_.end() ? duration(0)
                                   : from_seconds(found->second.no_load);
}

duration service_times::typical() const
{
    return from_seconds(typical_);
}

} // namespace nutmegusher::internal
