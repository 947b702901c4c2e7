#include "nutmegusher/policy/reported_error_rate.hpp"

namespace nutmegusher::internal
{

void reported_error_rate::on_report(
    double error_rate, std::uint64_t sent, time_point now)
{
    error_rate_ = error_rate < min_error_rate ? 0.0 : error_rate;
    reported_at_call_ = sent;
    reported_at_ = now;
}

void reported_error_rate::on_start(std::uint64_t sent, time_point now)
{
    if (error_rate_ > 0)
    {
        reported_at_call_ = sent;
        reported_at_ = now;
    }
}

double reported_error_rate::cost(std::uint64_t sent, time_point now) const
{
    const auto age = now - reported_at_;
    const bool enough_calls = sent - reported_at_call_ >= calls_between_checks;
    const bool is_due = age >= max_check_interval ||
                        (age >= min_check_interval && enough_calls);
    return is_due ? 0.0 : error_rate_ * failed_call_seconds;
}

} // namespace nutmegusher::internal
