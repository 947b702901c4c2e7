#include "nutmegusher/policy/shed_shares.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace nutmegusher
{

namespace
{

// The average covers about thirty answers, which one class at one daemon gets
// within seconds.
constexpr double elapsed_weight = 1.0 / 32;

void move_mean(double& mean, double value)
{
    mean = mean <= 0 ? value : mean + (value - mean) * elapsed_weight;
}

} // namespace

double shed_shares::count_of(const class_load& one, time_point now)
{
    using seconds = std::chrono::duration<double>;
    const double halvings = seconds(now - one.counted_at) / seconds(half_life);
    return one.count * std::exp2(-std::max(halvings, 0.0));
}

double shed_shares::cost_of(const class_load& one) const
{
    const double known = one.elapsed > 0 ? one.elapsed : mean_elapsed_;
    return known > 0 ? known : 1.0;
}

duration shed_shares::usual_elapsed(std::uint64_t work_class) const
{
    const auto found = classes_.find(work_class);
    const double seconds = found != classes_.end() && found->second.elapsed > 0
                               ? found->second.elapsed
                               : mean_elapsed_;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

void shed_shares::on_request(std::uint64_t work_class, time_point now)
{
    if (classes_.size() >= max_classes && !classes_.contains(work_class))
    {
        classes_.clear();
    }
    auto& one = classes_[work_class];
    one.count = count_of(one, now) + 1;
    one.counted_at = now;
}

void shed_shares::on_answer(std::uint64_t work_class, duration elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    if (seconds <= 0)
    {
        return;
    }
    move_mean(mean_elapsed_, seconds);
    const auto found = classes_.find(work_class);
    if (found != classes_.end())
    {
        move_mean(found->second.elapsed, seconds);
    }
}

// Each class's share is `factor * cost`, at most 1, with the factor at which
// all classes together lose `shed_share` of all requests. What a class capped
// at 1 can't lose is added to the others, so the most expensive ones are
// computed first.
double shed_shares::share_of(
    std::uint64_t work_class, double shed_share, time_point now) const
{
    const auto found = classes_.find(work_class);
    if (found == classes_.end() || shed_share <= 0 || shed_share >= 1)
    {
        return std::clamp(shed_share, 0.0, 1.0);
    }
    struct load
    {
        double cost;
        double count;
    };
    std::vector<load> loads;
    double left = 0;
    double weighted = 0;
    for (const auto& [id, one] : classes_)
    {
        const load each{cost_of(one), count_of(one, now)};
        loads.push_back(each);
        left += each.count * shed_share;
        weighted += each.count * each.cost;
    }
    std::sort(
        loads.begin(),
        loads.end(),
        [](const load& one, const load& other)
        {
            return one.cost > other.cost;
        });
    double factor = 0;
    for (const auto& each : loads)
    {
        factor = weighted > 0 ? left / weighted : 0;
        if (factor * each.cost <= 1)
        {
            break;
        }
        left -= each.count;
        weighted -= each.count * each.cost;
    }
    return std::clamp(factor * cost_of(found->second), 0.0, 1.0);
}

} // namespace nutmegusher
