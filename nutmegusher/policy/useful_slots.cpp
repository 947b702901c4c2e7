#include "nutmegusher/policy/useful_slots.hpp"

#include <algorithm>

namespace nutmegusher
{

namespace
{

// A mean follows the last of its calls, so many times as many as it is judged
// by.
constexpr std::size_t counted_ends_factor = 3;
// Below this a class's mean is too rough to be compared.
constexpr std::size_t least_ends_of_class = 10;
// Classes whose times are kept; a deployment has tens.
constexpr std::size_t most_classes = 1024;

bool is_fresh(time_point last_end, time_point now)
{
    return now - last_end <= useful_slots::memory;
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

std::size_t useful_slots::ends_to_judge() const
{
    return std::max(least_ends, slots_);
}

std::size_t useful_slots::step() const
{
    const auto rounded = (slots_ + steps_in_all / 2) / steps_in_all;
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

void useful_slots::on_end(
    std::uint64_t work_class, const start& from, duration held, time_point now)
{
    if (slots_ < least_slots)
    {
        return;
    }
    // Those of an earlier limit that still run are the long ones.
    if (from.period != period_ || ++ends_ <= settling_turns * slots_)
    {
        return;
    }
    if (classes_.size() >= most_classes)
    {
        classes_.clear();
    }
    auto& one = classes_[work_class][band_of(from.running)];
    if (!is_fresh(one.last_end, now))
    {
        one = {};
    }
    const double seconds = std::chrono::duration<double>(held).count();
    one.ends = std::min(one.ends + 1, counted_ends_factor * ends_to_judge());
    one.mean_seconds +=
        (seconds - one.mean_seconds) / static_cast<double>(one.ends);
    one.last_end = now;
}

std::size_t useful_slots::ends_in(std::size_t band, time_point now) const
{
    std::size_t ends = 0;
    for (const auto& [work_class, times] : classes_)
    {
        ends += is_fresh(times[band].last_end, now) ? times[band].ends : 0;
    }
    return ends;
}

// How many times as long calls take in the band as in the other one; nothing
// where too few are known of both.
std::optional<double> useful_slots::slowdown(
    std::size_t band, std::size_t other, time_point now) const
{
    double sum = 0;
    std::size_t compared = 0;
    for (const auto& [work_class, times] : classes_)
    {
        const auto& here = times[band];
        const auto& there = times[other];
        const auto ends = std::min(here.ends, there.ends);
        if (ends < least_ends_of_class || there.mean_seconds <= 0 ||
            !is_fresh(here.last_end, now) || !is_fresh(there.last_end, now))
        {
            continue;
        }
        sum +=
            here.mean_seconds / there.mean_seconds * static_cast<double>(ends);
        compared += ends;
    }
    if (compared < ends_to_judge())
    {
        return std::nullopt;
    }
    return sum / static_cast<double>(compared);
}

// Against the nearest band below it that can be compared.
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
        ++period_;
        ends_ = 0;
    }
    return limit_;
}

std::size_t useful_slots::best_limit(time_point now) const
{
    if (slots_ < least_slots)
    {
        return slots_;
    }
    for (std::size_t unused = 0; unused < most_unused_steps; ++unused)
    {
        if (ends_in(unused, now) < ends_to_judge())
        {
            return limit_of(unused);
        }
        const auto slower = slowdown_below(unused, now);
        if (!slower)
        {
            // Always full: what fewer would bring is found by using fewer.
            return limit_of(unused + 1);
        }
        const double used = static_cast<double>(limit_of(unused));
        const double fewer = static_cast<double>(limit_of(unused + 1));
        if (fewer * *slower <= used * least_gain)
        {
            return limit_of(unused);
        }
    }
    return limit_of(most_unused_steps);
}

} // namespace nutmegusher
