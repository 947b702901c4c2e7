#include "nutmegusher/policy/error_memory.hpp"

namespace nutmegusher::internal
{

void error_memory::on_word(double errors, std::uint64_t sent, time_point now)
{
    errors_ = errors < least_errors ? 0.0 : errors;
    told_at_call_ = sent;
    told_at_ = now;
}

void error_memory::on_start(std::uint64_t sent, time_point now)
{
    if (errors_ > 0)
    {
        told_at_call_ = sent;
        told_at_ = now;
    }
}

double error_memory::cost(std::uint64_t sent, time_point now) const
{
    const auto age = now - told_at_;
    const bool enough_calls = sent - told_at_call_ >= calls_to_check;
    const bool is_due = age >= longest || (age >= shortest && enough_calls);
    return is_due ? 0.0 : errors_ * failed_call_seconds;
}

} // namespace nutmegusher::internal
