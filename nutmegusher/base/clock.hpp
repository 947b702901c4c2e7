// Time as values: decisions take a `time_point`, only the daemon reads clocks.
#ifndef NUTMEGUSHER_BASE_CLOCK_HPP
#define NUTMEGUSHER_BASE_CLOCK_HPP

#include <chrono>
#include <concepts>

namespace nutmegusher
{

// Nanoseconds, signed.
using duration = std::chrono::nanoseconds;

// A reading of the host's monotonic clock. Readings of two hosts, or of two
// runs of one host, must not be compared: send durations, never time points.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// Whatever can tell the time.
template <class T>
concept clock_source = requires(const T& source)
{
    {
        source.now()
        } -> std::same_as<time_point>;
};

// The host's own monotonic clock; it goes on while the process is frozen.
class host_clock
{
public:
    [[nodiscard]] time_point now() const
    {
        return std::chrono::time_point_cast<duration>(
            std::chrono::steady_clock::now());
    }
};

// A clock that moves only when told; for tests and for the replay of traces.
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
