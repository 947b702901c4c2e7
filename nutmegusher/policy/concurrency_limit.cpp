#include "nutmegusher/policy/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegusher
{

namespace
{

// Only guards the arithmetic; no upstream of the users has as many connections.
constexpr std::size_t max_limit = 10'000;

// Growth per answer stops within about eight answers that show a queue.
constexpr double inflation_weight = 1.0 / 8;

// After this time the window of a slow service closes with fewer answers: the
// limit has to react within a fraction of a second.
constexpr duration max_window = std::chrono::milliseconds(200);
constexpr std::size_t min_samples = 6;

// A reduction targets a small queue in the upstream, so that a slot that
// becomes free finds work there while the answer is on its way.
constexpr double target_inflation = concurrency_limit::grow_threshold;
// One window reduces the limit by at most half, since noise may be the cause.
constexpr double min_kept_share = 0.5;
// It reduces the limit by at least a quarter: the effect of a smaller step
// couldn't be told from noise.
constexpr double max_kept_share = 0.75;
// Until a trial is evaluated, stalls don't reduce the limit below this share (1
// / divisor), so that a mistake doesn't starve a slow service.
constexpr std::size_t trial_floor_divisor = 4;

// Growth step beyond the known good limit: a tenth stays within the small queue
// that `target_inflation` allows.
constexpr std::size_t growth_divisor = 10;

// After a refusal by the upstream the limit isn't raised beyond the shed
// ceiling for this long, so probing costs at most one refused call a second.
constexpr duration shed_hold = std::chrono::seconds(1);

// A fifth is more than the small queue that `target_inflation` allows.
constexpr std::size_t yield_divisor = 5;

// With exponential service times and the whole limit in flight, no answer for
// four times the usual latency has a probability below one in a million from
// two calls in flight on.
constexpr int stall_latencies = 4;
// Shorter gaps can come from the host's scheduler.
constexpr duration min_stall_time = std::chrono::milliseconds(50);

duration stall_time(duration typical)
{
    return std::max(min_stall_time, typical * stall_latencies);
}

} // namespace

concurrency_limit::concurrency_limit()
    : known_good_(max_limit)
    , shed_ceiling_(max_limit)
{
}

void concurrency_limit::on_start(std::size_t in_flight, time_point now)
{
    if (in_flight == 1)
    {
        last_progress_ = now;
    }
    window_.peak_in_flight = std::max(window_.peak_in_flight, in_flight);
}

void concurrency_limit::on_answer(
    const limit_sample& sample, std::size_t in_flight, time_point now)
{
    last_progress_ = now;
    if (!sample.partial)
    {
        grow_by_answer(in_flight, sample.inflation);
    }
    if (sample.started < window_.opened)
    {
        return;
    }
    ++window_.samples;
    window_.timeouts += sample.timed_out ? 1 : 0;
    window_.partial += sample.partial ? 1 : 0;
    window_.inflation_sum += sample.inflation;
    if (window_complete(now))
    {
        close_window(in_flight, now);
    }
}

void concurrency_limit::grow_by_answer(std::size_t in_flight, double inflation)
{
    recent_inflation_ += (inflation - recent_inflation_) * inflation_weight;
    const bool limit_reached = in_flight + 1 >= limit_;
    const bool short_queue =
        recent_inflation_ < external_inflation_ * grow_threshold;
    if (limit_reached && short_queue && limit_ < known_good_ && !trial_ &&
        !warming_up_)
    {
        set_limit(limit_ + 1);
    }
}

bool concurrency_limit::window_complete(time_point now) const
{
    // With a low limit two answers per slot are enough: wrong steps are small,
    // and waiting for more answers would slow the recovery.
    const std::size_t enough =
        std::clamp<std::size_t>(limit_ * 2, min_samples, window_samples);
    if (window_.samples >= enough)
    {
        return true;
    }
    const bool long_open = now - window_.opened >= max_window;
    return long_open && window_.samples >= min_samples;
}

void concurrency_limit::close_window(std::size_t in_flight, time_point now)
{
    const double inflation =
        window_.inflation_sum / static_cast<double>(window_.samples);
    const bool all_timed_out = window_.timeouts == window_.samples;
    if (all_timed_out && other_lane_dominates_)
    {
        contended_ = true;
    }
    else if (all_timed_out)
    {
        // All calls timed out: whatever the cause, calls are better sent
        // elsewhere. `known_good_` isn't changed, as the old limit isn't in
        // doubt.
        reduce(min_kept_share);
        trial_.reset();
    }
    else if (trial_)
    {
        evaluate_trial(inflation);
    }
    else
    {
        external_inflation_ =
            std::max(1.0, std::min(external_inflation_, inflation));
        adjust(inflation, now);
    }
    open_window(in_flight, now);
}

void concurrency_limit::evaluate_trial(double inflation)
{
    if (trial_->reference_limit == 0)
    {
        if (inflation / external_inflation_ > reduce_threshold)
        {
            begin_second_reduction(inflation);
            return;
        }
        known_good_ = limit_;
        trial_.reset();
        return;
    }
    const double kept = static_cast<double>(limit_) /
                        static_cast<double>(trial_->reference_limit);
    // The midpoint between inflation that fell with the limit and unchanged
    // inflation.
    const double success_threshold =
        trial_->reference_inflation * (1.0 + kept) / 2.0;
    if (inflation >= success_threshold)
    {
        external_inflation_ = std::max(1.0, inflation);
        set_limit(trial_->limit_before);
    }
    known_good_ = limit_;
    trial_.reset();
}

void concurrency_limit::begin_second_reduction(double inflation)
{
    trial_->reference_limit = limit_;
    trial_->reference_inflation = inflation;
    reduce(target_inflation * external_inflation_ / inflation);
}

void concurrency_limit::adjust(double inflation, time_point now)
{
    const double own = inflation / external_inflation_;
    const bool in_use = window_.peak_in_flight * 2 >= limit_;
    if (!in_use && !other_lane_dominates_)
    {
        return;
    }
    if (own > reduce_threshold && other_lane_dominates_)
    {
        contended_ = true;
    }
    else if (own > reduce_threshold)
    {
        const double latest =
            std::max(own, recent_inflation_ / external_inflation_);
        reduce(target_inflation / latest);
    }
    else if (own < grow_threshold)
    {
        grow(now);
    }
}

void concurrency_limit::grow(time_point now)
{
    const bool mostly_complete = window_.partial * 2 <= window_.samples;
    const bool limit_reached =
        mostly_complete && window_.peak_in_flight >= limit_;
    const bool held = limit_ >= shed_ceiling_ && now < hold_until_;
    const bool too_soon = warming_up_ && now - last_growth_ < warm_up_step;
    if (!limit_reached || held || too_soon)
    {
        return;
    }
    last_growth_ = now;
    const std::size_t step = std::max<std::size_t>(1, limit_ / growth_divisor);
    // Outside warm-up `grow_by_answer` does the fast growth.
    const std::size_t doubled =
        warming_up_ ? std::min(limit_ * 2, known_good_) : 0;
    set_limit(std::max(limit_ + step, doubled));
}

void concurrency_limit::reduce(double factor)
{
    const double kept = std::clamp(factor, min_kept_share, max_kept_share);
    const auto reduced = static_cast<std::size_t>(
        std::floor(static_cast<double>(limit_) * kept));
    warming_up_ = false;
    if (!trial_)
    {
        trial_ = trial{.limit_before = limit_};
    }
    set_limit(reduced);
}

void concurrency_limit::set_limit(std::size_t limit)
{
    limit_ = std::clamp<std::size_t>(limit, 1, max_limit);
}

void concurrency_limit::open_window(std::size_t in_flight, time_point now)
{
    window_ = window{.opened = now, .peak_in_flight = in_flight};
}

void concurrency_limit::on_shed(std::size_t in_flight, time_point now)
{
    last_progress_ = now;
    const std::size_t slots = std::max<std::size_t>(in_flight, 1);
    shed_ceiling_ = slots;
    hold_until_ = now + shed_hold;
    if (slots < limit_)
    {
        // Refusals at half the limit or less indicate a transient fault rather
        // than the number of slots: allow fast growth afterwards.
        known_good_ = std::max(slots, limit_ / 2);
        warming_up_ = false;
        trial_.reset();
        set_limit(slots);
        open_window(in_flight, now);
    }
}

bool concurrency_limit::take_contended()
{
    return std::exchange(contended_, false);
}

void concurrency_limit::yield(std::size_t in_flight, time_point now)
{
    const std::size_t used = std::clamp<std::size_t>(in_flight, 1, limit_);
    set_limit(used - used / yield_divisor);
    shed_ceiling_ = limit_;
    known_good_ = limit_;
    hold_until_ = now + shed_hold;
    trial_.reset();
    open_window(in_flight, now);
}

void concurrency_limit::on_tick(
    std::size_t working, duration typical, time_point now)
{
    const auto stalled = stall_at(working, typical);
    if (!stalled || now < *stalled)
    {
        return;
    }
    last_progress_ = now;
    if (other_lane_dominates_)
    {
        contended_ = true;
        return;
    }
    const std::size_t before = trial_ ? trial_->limit_before : limit_;
    const std::size_t floor = before / trial_floor_divisor;
    if (limit_ / 2 >= floor)
    {
        reduce(min_kept_share);
    }
    open_window(working, now);
}

std::optional<time_point>
concurrency_limit::stall_at(std::size_t working, duration typical) const
{
    // A single call may just be an unusually long one.
    if (working < 2 || typical <= duration(0))
    {
        return std::nullopt;
    }
    return last_progress_ + stall_time(typical);
}

void concurrency_limit::begin_warm_up(time_point now)
{
    *this = concurrency_limit();
    warming_up_ = true;
    last_growth_ = now;
    open_window(0, now);
}

} // namespace nutmegusher
