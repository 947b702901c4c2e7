// How much of each rank was offered and refused of late.
//
// The admission level, the time to come back and the estimate of a wait all
// come from these rates.
#ifndef NUTMEGUSHER_POLICY_LOAD_METER_HPP
#define NUTMEGUSHER_POLICY_LOAD_METER_HPP

#include "nutmegusher/policy/admission_level.hpp"
#include "nutmegusher/policy/call.hpp"

#include <array>

namespace nutmegusher::internal
{

// A count that forgets: what is older than `time_constant` weighs 1/e.
class decaying_count
{
public:
    // A quarter of the second in which service has to be back: a level must
    // fade well within it, and 250 ms still hold a few hundred calls of the
    // smallest of the users' services.
    static constexpr duration time_constant = std::chrono::milliseconds(250);

    void add(double amount, time_point now);
    [[nodiscard]] double value(time_point now) const;
    [[nodiscard]] double per_second(time_point now) const;

private:
    double value_ = 0;
    time_point updated_;
};

// Calls of one rank in one window.
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

    // Calls a second that came with a better rank than this.
    [[nodiscard]] double
    better_ranks_per_second(std::uint8_t rank, time_point now) const;
    [[nodiscard]] double
    refused_per_second(std::uint8_t rank, time_point now) const;
    [[nodiscard]] double finished_per_second(time_point now) const;

    // The level that lets in, by strict rank, as many as could start within
    // the last whole window, if more than `min_refused_share` was refused in
    // it. What started counts, not what was refused: refusals go on while a
    // queue of earlier calls drains. And all ranks count together: each alone
    // has too few calls, and one may wait longer than a better one and get in.
    [[nodiscard]] lane_level level(time_point now) const;

    // Refusing less than this at the entry costs more capacity than the
    // wasted work it saves: the deep service must still see some surplus to
    // stay filled.
    static constexpr double min_refused_share = 0.1;

    // Short, as whoever hears of refusals cuts what he sends, and must not cut
    // it again for the same ones; long enough for a few dozen calls.
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
