#include "nutmegusher/policy/repeat_window.hpp"

#include <algorithm>

namespace nutmegusher
{

namespace
{

constexpr duration interval_length = std::chrono::milliseconds(500);
constexpr double window_seconds = 10;
// The bucket holds the repeats of this time.
constexpr double burst_seconds = 1.0;

std::size_t index_of(std::int64_t interval, std::size_t ring_size)
{
    return static_cast<std::size_t>(interval) % ring_size;
}

} // namespace

void repeat_window::advance(time_point now)
{
    const std::int64_t present = now.time_since_epoch() / interval_length;
    const auto first_new =
        std::max(interval_ + 1, present - std::int64_t{ring_size} + 1);
    for (auto interval = first_new; interval <= present; ++interval)
    {
        calls_.at(index_of(interval, ring_size)) = 0;
        repeats_.at(index_of(interval, ring_size)) = 0;
    }
    interval_ = std::max(interval_, present);
}

double
repeat_window::sum(const ring& counts, std::int64_t from, std::int64_t to)
{
    std::uint64_t total = 0;
    for (auto interval = from; interval < to; ++interval)
    {
        total += counts.at(index_of(interval, ring_size));
    }
    return static_cast<double>(total);
}

double repeat_window::counted_calls(std::int64_t window_begin) const
{
    const auto until = [this](std::int64_t end)
    {
        return std::min(end, interval_ + 1);
    };
    const auto half = window_length / 2;
    const auto before = window_begin - window_length;
    return std::max(
        {sum(calls_, before, window_begin),
         sum(calls_, window_begin - half, until(window_begin + half)),
         sum(calls_, window_begin, until(window_begin + window_length))});
}

bool repeat_window::fits_all_windows(double ratio) const
{
    double repeats = 1;
    for (std::int64_t age = 0; age < window_length; ++age)
    {
        const auto begin = interval_ - age;
        repeats += repeats_.at(index_of(begin, ring_size));
        if (repeats > std::max(ratio * counted_calls(begin), 1.0))
        {
            return false;
        }
    }
    return true;
}

void repeat_window::on_call(time_point now)
{
    advance(now);
    ++calls_.at(index_of(interval_, ring_size));
}

double repeat_window::allowed_rate(double inherited, time_point now)
{
    advance(now);
    const auto begin = interval_ + 1 - window_length;
    return std::max(ratio_ - inherited, 0.0) * counted_calls(begin) /
           window_seconds;
}

bool repeat_window::take(double inherited, time_point now)
{
    const double rate = allowed_rate(inherited, now);
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    const double capacity = std::max(rate * burst_seconds, 1.0);
    tokens_ =
        std::min(tokens_ + rate * std::max(elapsed.count(), 0.0), capacity);
    refilled_at_ = std::max(refilled_at_, now);
    if (tokens_ < 1 || !fits_all_windows(std::max(ratio_ - inherited, 0.0)))
    {
        return false;
    }
    tokens_ -= 1;
    ++repeats_.at(index_of(interval_, ring_size));
    return true;
}

} // namespace nutmegusher
