#include "nutmegusher/policy/error_meter.hpp"

#include <algorithm>
#include <cmath>

namespace nutmegusher
{

void error_meter::counts::decay(time_point now)
{
    using seconds = std::chrono::duration<double>;
    const double elapsed = seconds(now - at) / seconds(half_life);
    if (elapsed <= 0)
    {
        return;
    }
    const double kept = std::exp2(-elapsed);
    answers *= kept;
    errors *= kept;
    failed_calls *= kept;
    at = now;
}

void error_meter::on_answer(
    const data_center_name& from, bool error, time_point now)
{
    for (auto* const each : {&all_, &by_origin_[from]})
    {
        each->decay(now);
        each->answers += 1;
        each->errors += error ? 1 : 0;
    }
}

void error_meter::on_failed_call(time_point now)
{
    all_.decay(now);
    all_.failed_calls += 1;
}

// Fraction of all errors that failed sub-calls don't account for.
double error_meter::own_error_fraction(time_point now) const
{
    auto all = all_;
    all.decay(now);
    if (all.errors <= 0)
    {
        return 0;
    }
    return std::clamp(1.0 - all.failed_calls / all.errors, 0.0, 1.0);
}

double error_meter::share(const data_center_name& from, time_point now) const
{
    const auto known = by_origin_.find(from);
    auto seen = known == by_origin_.end() ? counts() : known->second;
    seen.decay(now);
    if (seen.answers < min_answers)
    {
        seen = all_;
        seen.decay(now);
    }
    if (seen.answers < min_answers)
    {
        return 0;
    }
    return own_error_fraction(now) * seen.errors / seen.answers;
}

} // namespace nutmegusher
