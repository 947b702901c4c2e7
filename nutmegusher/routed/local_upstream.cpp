#include "nutmegusher/routed/local_upstream.hpp"

#include <algorithm>

namespace nutmegusher::routed
{

namespace
{

// Ids whose late reports are recognised. A host's upstream starts a few times
// an hour at most, and late reports are late by seconds, not hours.
constexpr std::size_t max_known_ids = 64;

} // namespace

local_upstream::known_id& local_upstream::find_or_add(const std::string& id)
{
    const auto found = std::find_if(
        known_.begin(),
        known_.end(),
        [&id](const known_id& each)
        {
            return each.id == id;
        });
    if (found != known_.end())
    {
        return *found;
    }
    if (known_.size() == max_known_ids)
    {
        known_.pop_front();
    }
    known_.push_back({id, std::nullopt, false});
    return known_.back();
}

report_effect local_upstream::report(const upstream_report& new_report)
{
    const std::scoped_lock lock(mutex_);
    auto& known = find_or_add(new_report.id);
    const bool is_later_start =
        known.last_order &&
        new_report.order.started > known.last_order->started;
    if (is_later_start)
    {
        known.withdrawn = false;
    }
    if (known.withdrawn ||
        (known.last_order && new_report.order <= *known.last_order))
    {
        return report_effect::none;
    }
    known.last_order = new_report.order;
    const bool is_new_process =
        is_later_start || (current_ && current_->id != new_report.id);
    const bool same = current_ && reachable_ && current_->id == new_report.id &&
                      current_->address == new_report.address &&
                      current_->service == new_report.service &&
                      current_->slots == new_report.slots &&
                      current_->leaving == new_report.leaving;
    current_ = new_report;
    reachable_ = true;
    if (is_new_process)
    {
        return report_effect::started;
    }
    return same ? report_effect::none : report_effect::changed;
}

bool local_upstream::withdraw(const std::string& id, std::uint64_t started)
{
    const std::scoped_lock lock(mutex_);
    auto& known = find_or_add(id);
    if (started != 0 && known.last_order && started < known.last_order->started)
    {
        return false;
    }
    known.withdrawn = true;
    if (!current_ || current_->id != id || current_->leaving)
    {
        return false;
    }
    current_->leaving = true;
    return true;
}

bool local_upstream::mark_unreachable(const std::string& id)
{
    const std::scoped_lock lock(mutex_);
    if (!current_ || current_->id != id || !reachable_)
    {
        return false;
    }
    reachable_ = false;
    return true;
}

std::optional<upstream_report> local_upstream::current() const
{
    const std::scoped_lock lock(mutex_);
    return current_;
}

bool local_upstream::takes_calls() const
{
    const std::scoped_lock lock(mutex_);
    return current_ && reachable_ && !current_->leaving;
}

} // namespace nutmegusher::routed
