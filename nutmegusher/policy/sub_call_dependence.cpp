#include "nutmegusher/policy/sub_call_dependence.hpp"

#include <algorithm>
#include <cmath>

namespace nutmegusher
{

namespace
{

// Fewer recent sub-calls say nothing about a failing service.
constexpr double min_sub_calls = 5;

double kept_share(duration elapsed, duration half_life)
{
    using seconds = std::chrono::duration<double>;
    const double halvings = seconds(elapsed) / seconds(half_life);
    return std::exp2(-std::max(halvings, 0.0));
}

} // namespace

void sub_call_dependence::on_sub_call(bool failed, time_point now)
{
    const double kept = kept_share(now - at_, half_life);
    sub_calls_ = sub_calls_ * kept + 1;
    failed_ = failed_ * kept + (failed ? 1 : 0);
    at_ = now;
}

double sub_call_dependence::failed_share(time_point now) const
{
    const double recent = sub_calls_ * kept_share(now - at_, half_life);
    return recent < min_sub_calls ? 0 : failed_ / sub_calls_;
}

void sub_call_dependence::on_answer(
    std::uint64_t work_class, bool is_error, time_point now)
{
    if (failed_share(now) < min_failed_share)
    {
        return;
    }
    if (classes_.size() >= max_classes && !classes_.contains(work_class))
    {
        return;
    }
    auto& one = classes_[work_class];
    one.answers += 1;
    one.errors += is_error ? 1 : 0;
    if (one.answers > max_answers)
    {
        one.answers /= 2;
        one.errors /= 2;
    }
}

void sub_call_dependence::reset()
{
    *this = sub_call_dependence();
}

bool sub_call_dependence::depends(std::uint64_t work_class) const
{
    const auto found = classes_.find(work_class);
    if (found == classes_.end() || found->second.answers < min_answers)
    {
        return true;
    }
    const auto& one = found->second;
    return one.errors > one.answers * max_independent_error_share;
}

} // namespace nutmegusher
