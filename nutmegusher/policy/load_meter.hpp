// Recent rates of offered, refused and started calls, per rank.
//
// The admission level, the retry-after times and the predicted wait are
// computed from these rates.
#ifndef NUTMEGUSHER_POLICY_LOAD_METER_HPP
#define NUTMEGUSHER_POLICY_LOAD_METER_HPP

#include "nutmegusher/policy/admission_level.hpp"
#include "nutmegusher/policy/call.hpp"

#include <array>

namespace nutmegusher::internal
{

// An exponentially decaying count: an event that is `time_constant` old has the
// weight 1/e.
class decaying_count
{
public:
    // A quarter of the second in which service has to recover: a level must
    // fade well within it, and 250 ms still cover a few hundred calls of the
    // users' smallest service.
    static constexpr duration time_constant = std::chrono::milliseconds(250);

    void add(double amount, time_point now);
    [[nodiscard]] double value(time_point now) const;
    [[nodiscard]] double per_second(time_point now) const;

private:
    double value_ = 0;
    time_point updated_;
};

// Numbers of calls of one rank in one window.
struct rank_counts
{
    std::uint32_t offered = 0;
    std::uint32_t refused = 0;
    std::uint32_t started = 0;
};

class load_meter
{
public:
    void on_offered(std::uint8_t rank, time_point now);
    void on_refused(std::uint8_t rank, time_point now);
    void on_started(std::uint8_t rank, time_point now);
    void on_finished(time_point now);

    // Calls per second that arrived with a better rank than this.
    [[nodiscard]] double
    better_ranks_per_second(std::uint8_t rank, time_point now) const;
    [[nodiscard]] double
    refused_per_second(std::uint8_t rank, time_point now) const;
    [[nodiscard]] double finished_per_second(time_point now) const;

    // The level that admits, in strict order of rank, as many calls as could
    // start in the last complete window, if more than `min_refused_share` was
    // refused in it. It is computed from started calls, not from refusals, as
    // refusals continue while a queue of earlier calls drains. All ranks are
    // counted together: a single rank has too few calls, and a call may wait
    // longer than one of a better rank and still be admitted.
    [[nodiscard]] lane_level level(time_point now) const;

    // Refusing less than this share at the entry costs more capacity than it
    // saves in wasted work: the deep service needs a small surplus to stay
    // fully used.
    static constexpr double min_refused_share = 0.1;

    // Short, so that a caller that reduces its load after refusals doesn't
    // reduce it again for the same refusals; long enough for a few dozen calls.
    static constexpr duration window = std::chrono::milliseconds(50);

private:
    using counts = std::array<rank_counts, rank_count>;

    void rotate_window(time_point now);

    counts current_{};
    counts last_{};
    time_point current_until_;
    std::array<decaying_count, rank_count> offered_;
    std::array<decaying_count, rank_count> refused_;
    decaying_count finished_;
};

} // namespace nutmegusher::internal

#endif
