#include "nutmegusher/policy/useful_slots.hpp"

#include <algorithm>

namespace nutmegusher
{

namespace
{

// A mean covers the last completions: this factor times the number needed to
// evaluate it.
constexpr std::size_t max_weight_factor = 3;
// With fewer completions a class's mean is too inexact to be compared.
constexpr std::size_t min_class_completions = 10;
// Bound on the number of tracked classes; a deployment has tens.
constexpr std::size_t max_classes = 1024;

bool is_fresh(time_point last_completion, time_point now)
{
    return now - last_completion <= useful_slots::retention;
}

} // namespace

void useful_slots::set_slots(std::size_t slots)
{
    if (slots == slots_)
    {
        return;
    }
    classes_.clear();
    slots_ = slots;
}

std::size_t useful_slots::completions_to_compare() const
{
    return std::max(min_completions, slots_);
}

std::size_t useful_slots::step() const
{
    const auto rounded = (slots_ + step_count / 2) / step_count;
    return std::max<std::size_t>(rounded, 1);
}

std::size_t useful_slots::limit_of(std::size_t unused_steps) const
{
    return slots_ - unused_steps * step();
}

std::size_t useful_slots::band_of(std::size_t running) const
{
    std::size_t index = 0;
    while (index + 1 < band_count && running <= limit_of(index + 1))
    {
        ++index;
    }
    return index;
}

void useful_slots::on_completion(
    std::uint64_t work_class,
    const start& started_under,
    duration slot_time,
    time_point now)
{
    if (slots_ < min_slots)
    {
        return;
    }
    // Calls from an earlier limit that are still running are mostly long ones
    // and would bias the mean.
    if (started_under.limit_version != limit_version_ ||
        ++completions_ <= settling_rounds * slots_)
    {
        return;
    }
    if (classes_.size() >= max_classes)
    {
        classes_.clear();
    }
    auto& one = classes_[work_class][band_of(started_under.running)];
    if (!is_fresh(one.last_completion, now))
    {
        one = {};
    }
    const double seconds = std::chrono::duration<double>(slot_time).count();
    one.completions = std::min(
        one.completions + 1, max_weight_factor * completions_to_compare());
    one.mean_seconds +=
        (seconds - one.mean_seconds) / static_cast<double>(one.completions);
    one.last_completion = now;
}

std::size_t useful_slots::completions_in(std::size_t band, time_point now) const
{
    std::size_t completions = 0;
    for (const auto& [work_class, times] : classes_)
    {
        completions += is_fresh(times[band].last_completion, now)
                           ? times[band].completions
                           : 0;
    }
    return completions;
}

// The ratio of slot times in the band to those in the other band; nullopt if
// too few calls of both are known.
std::optional<double> useful_slots::slowdown(
    std::size_t band, std::size_t other, time_point now) const
{
    double sum = 0;
    std::size_t compared = 0;
    for (const auto& [work_class, times] : classes_)
    {
        const auto& here = times[band];
        const auto& there = times[other];
        const auto completions = std::min(here.completions, there.completions);
        if (completions < min_class_completions || there.mean_seconds <= 0 ||
            !is_fresh(here.last_completion, now) ||
            !is_fresh(there.last_completion, now))
        {
            continue;
        }
        sum += here.mean_seconds / there.mean_seconds *
               static_cast<double>(completions);
        compared += completions;
    }
    if (compared < completions_to_compare())
    {
        return std::nullopt;
    }
    return sum / static_cast<double>(compared);
}

// The slowdown against the nearest band with fewer running calls that can be
// compared.
std::optional<double>
useful_slots::slowdown_below(std::size_t band, time_point now) const
{
    for (std::size_t other = band + 1; other < band_count; ++other)
    {
        if (const auto found = slowdown(band, other, now))
        {
            return found;
        }
    }
    return std::nullopt;
}

std::size_t useful_slots::limit(time_point now)
{
    const auto best = best_limit(now);
    if (best != limit_)
    {
        limit_ = best;
        ++limit_version_;
        completions_ = 0;
    }
    return limit_;
}

std::size_t useful_slots::best_limit(time_point now) const
{
    if (slots_ < min_slots)
    {
        return slots_;
    }
    for (std::size_t unused = 0; unused < max_unused_steps; ++unused)
    {
        if (completions_in(unused, now) < completions_to_compare())
        {
            return limit_of(unused);
        }
        const auto slower = slowdown_below(unused, now);
        if (!slower)
        {
            // The upstream is always full: use fewer slots to measure their
            // effect.
            return limit_of(unused + 1);
        }
        const double used = static_cast<double>(limit_of(unused));
        const double fewer = static_cast<double>(limit_of(unused + 1));
        if (fewer * *slower <= used * min_gain)
        {
            return limit_of(unused);
        }
    }
    return limit_of(max_unused_steps);
}

} // namespace nutmegusher
