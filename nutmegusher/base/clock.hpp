// Clocks and time types. Code that makes decisions takes a `time_point` as a
// parameter; only the daemon reads clocks.
#ifndef NUTMEGUSHER_BASE_CLOCK_HPP
#define NUTMEGUSHER_BASE_CLOCK_HPP

#include <chrono>
#include <concepts>

namespace nutmegusher
{

// Signed, in nanoseconds.
using duration = std::chrono::nanoseconds;

// A reading of the host's monotonic clock. Readings of different hosts, or from
// before and after a reboot, must not be compared: send durations to other
// processes, never time points.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// A type with a `now()` that returns the current `time_point`.
template <class T>
concept clock_source = requires(const T& source)
{
    {
        source.now()
        } -> std::same_as<time_point>;
};

// The host's monotonic clock. It advances while the process is stopped.
class host_clock
{
public:
    [[nodiscard]] time_point now() const
    {
        return std::chrono::time_point_cast<duration>(
            std::chrono::steady_clock::now());
    }
};

// A clock that only `advance` moves; for tests and for the replay of traces.
class manual_clock
{
public:
    [[nodiscard]] time_point now() const
    {
        return now_;
    }

    // Requires: `step` isn't negative.
    void advance(duration step)
    {
        now_ += step;
    }

private:
    time_point now_{std::chrono::hours(1)};
};

} // namespace nutmegusher

#endif
