// Limits how often this daemon repeats calls to one service that upstreams
// rejected without running them.
//
//     window.on_call(now);                        // sent for the first time
//     if (window.take(inherited_share, now)) repeat();
//
// Pattern of load: all upstreams of a service reject half of their calls for
// seconds, whatever arrives. A request whose four sequential calls must all
// pass needs about five repeats; with three repeats for a hundred calls only 4
// in 100 such requests pass. Operators allow repeats for a fifth of a service's
// calls in a window of ten seconds, counted against the calls of that window or
// of the one before, and most of them stayed unused.
//
// A rejected call hasn't run, so its repeat causes no calls further down, as
// the repeats that `retry_allowance` limits do. What this daemon's calls
// inherit as repeats of requests further up is deducted.
//
// - Each window of ten seconds that contains the present keeps to the ratio of
//   the calls that operators count for it, as far as they have been made: those
//   of the window, of the one before, or of the one half a window before,
//   whichever are most. Calls that entries shed for want of repeats don't
//   reduce the allowance at once.
// - Within that, a token bucket spreads the repeats over the window.
#ifndef NUTMEGUSHER_POLICY_REPEAT_WINDOW_HPP
#define NUTMEGUSHER_POLICY_REPEAT_WINDOW_HPP

#include "nutmegusher/base/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace nutmegusher
{

class repeat_window
{
public:
    // Most repeats of rejected calls per call, for requests and for sub-calls.
    // With `retry_allowance` and the bucket of one second they stay below the
    // fifth that operators allow.
    static constexpr double ratio_of_requests = 0.08;
    static constexpr double ratio_of_sub_calls = 0.15;

    // `ratio`: one of the two above.
    explicit repeat_window(double ratio)
        : ratio_(ratio)
    {
    }

    void on_call(time_point now);

    // Returns true if one repeat may be sent, and deducts it. `inherited`: the
    // share of this daemon's calls that count as repeats already, in [0, 1].
    bool take(double inherited, time_point now);

    // Repeats per second that are allowed now.
    [[nodiscard]] double allowed_rate(double inherited, time_point now);

private:
    // Counts by intervals of half a second; a window has `window_length` of
    // them. The ring holds two windows and the present interval.
    static constexpr std::int64_t window_length = 20;
    static constexpr std::size_t ring_size = 64;
    using ring = std::array<std::uint32_t, ring_size>;

    void advance(time_point now);
    // The sum over the intervals from `from` until `to`, not included.
    [[nodiscard]] static double
    sum(const ring& counts, std::int64_t from, std::int64_t to);
    // The calls that count for a window that begins with the interval.
    [[nodiscard]] double counted_calls(std::int64_t window_begin) const;
    [[nodiscard]] bool fits_all_windows(double ratio) const;

    double ratio_;
    ring calls_{};
    ring repeats_{};
    // The number of the present interval since the clock's epoch.
    std::int64_t interval_ = 0;
    // A daemon that has just started may send one repeat.
    double tokens_ = 1;
    time_point refilled_at_;
};

} // namespace nutmegusher

#endif
