#include "nutmegusher/policy/slot_times.hpp"

#include <algorithm>
#include <cmath>

namespace nutmegusher::internal
{

namespace
{

// The average covers about eight answers: at tens of calls a second it follows
// an upstream that becomes slow within a fraction of a second.
constexpr double sample_weight = 1.0 / 8;
// A probe is the only evidence since the class was refused, so it weighs more.
constexpr double probe_weight = 1.0 / 2;
// A sample weighs more the longer ago the last one is. With the small weight
// alone, an upstream that had stood still and got a call now and then
// afterwards reported the time of its stall for tens of seconds.
constexpr double sample_half_life_seconds = 0.5;

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

// `since_last`: the time since the last sample of the mean.
void update_mean(
    double& mean, const slot_times::sample& measured, duration since_last)
{
    const double seconds =
        std::chrono::duration<double>(measured.slot_time).count();
    if (!measured.is_complete && seconds <= mean)
    {
        return;
    }
    const bool shortens = seconds < mean;
    const double age = std::chrono::duration<double>(since_last).count();
    const double by_age = 1 - std::exp2(-age / sample_half_life_seconds);
    const double least =
        measured.was_probe && shortens ? probe_weight : sample_weight;
    const double weight = shortens ? std::max(least, by_age) : least;
    mean = mean <= 0 ? seconds : mean + (seconds - mean) * weight;
}

} // namespace

void slot_times::on_start(std::uint64_t work_class)
{
    if (classes_.size() < max_classes || classes_.contains(work_class))
    {
        ++classes_[work_class].running;
    }
}

slot_times::class_times*
slot_times::end_one(std::uint64_t work_class, time_point now)
{
    const auto found = classes_.find(work_class);
    if (found == classes_.end())
    {
        return nullptr;
    }
    auto& one = found->second;
    one.running -= std::min<std::size_t>(one.running, 1);
    one.last_end = now;
    return &one;
}

void slot_times::on_end(
    std::uint64_t work_class, const sample& measured, time_point now)
{
    update_mean(mean_, measured, now - last_end_);
    last_end_ = now;
    const auto* const before = find(work_class);
    const auto last_end = before == nullptr ? now : before->last_end;
    if (class_times* const one = end_one(work_class, now))
    {
        update_mean(one->mean, measured, now - last_end);
    }
}

void slot_times::on_end(std::uint64_t work_class, time_point now)
{
    end_one(work_class, now);
}

void slot_times::clear()
{
    classes_.clear();
    mean_ = 0;
}

const slot_times::class_times* slot_times::find(std::uint64_t work_class) const
{
    const auto found = classes_.find(work_class);
    return found == classes_.end() ? nullptr : &found->second;
}

bool slot_times::has_running(std::uint64_t work_class) const
{
    const auto* const one = find(work_class);
    return one != nullptr && one->running > 0;
}

bool slot_times::is_current(std::uint64_t work_class, time_point now) const
{
    const auto* const one = find(work_class);
    return one != nullptr &&
           (one->running > 0 || now - one->last_end < lifetime);
}

duration slot_times::expected(std::uint64_t work_class) const
{
    const auto* const one = find(work_class);
    return from_seconds(one == nullptr ? 0 : one->mean);
}

duration slot_times::mean() const
{
    return from_seconds(mean_);
}

duration slot_times::longest() const
{
    double longest = 0;
    for (const auto& [work_class, one] : classes_)
    {
        longest = std::max(longest, one.mean);
    }
    return from_seconds(longest);
}

} // namespace nutmegusher::internal
