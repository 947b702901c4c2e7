#include "nutmegusher/routed/local_upstream.hpp"

#include <algorithm>

namespace nutmegusher::routed
{

namespace
{

// Ids whose late reports are recognised. A host's upstream starts a few times
// an hour at most, and late reports are late by seconds, not hours.
constexpr std::size_t max_known_ids = 64;
// Leaves room for the ids that report to this process.
constexpr std::size_t max_restored_ids = max_known_ids / 2;

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

void local_upstream::await_withdrawals()
{
    const std::scoped_lock lock(mutex_);
    knows_withdrawals_ = false;
}

void local_upstream::restore_withdrawals(
    std::span<const withdrawn_upstream> withdrawn)
{
    const std::scoped_lock lock(mutex_);
    knows_withdrawals_ = true;
    const auto count = std::min(withdrawn.size(), max_restored_ids);
    for (const auto& each : withdrawn.last(count))
    {
        withdraw_start(each.id, each.started);
    }
}

bool local_upstream::knows_withdrawals() const
{
    const std::scoped_lock lock(mutex_);
    return knows_withdrawals_;
}

std::optional<std::uint64_t> local_upstream::withdrawn_start(
    const std::string& id, std::uint64_t started) const
{
    const std::scoped_lock lock(mutex_);
    const auto found = std::find_if(
        known_.begin(),
        known_.end(),
        [&id](const known_id& each)
        {
            return each.id == id;
        });
    if (found == known_.end() || !found->withdrawn)
    {
        return std::nullopt;
    }
    const auto last = found->last_order ? found->last_order->started : 0;
    if (started != 0 && started < last)
    {
        return std::nullopt;
    }
    return started == 0 ? last : started;
}

bool local_upstream::set_current_leaving(const std::string& id)
{
    if (!current_ || current_->id != id || current_->leaving)
    {
        return false;
    }
    current_->leaving = true;
    return true;
}

report_effect local_upstream::report(const upstream_report& new_report)
{
    const std::scoped_lock lock(mutex_);
    auto& known = find_or_add(new_report.id);
    const bool is_later_start =
        known.last_order &&
        new_report.order.started > known.last_order->started;
    const bool is_earlier_start =
        known.last_order &&
        new_report.order.started < known.last_order->started;
    if (is_later_start)
    {
        known.withdrawn = false;
    }
    if (known.withdrawn || is_earlier_start)
    {
        return report_effect::none;
    }
    // Also by a report that comes after a later one: it is acknowledged.
    known.withdrawn = new_report.leaving;
    if (known.last_order && new_report.order <= *known.last_order)
    {
        return new_report.leaving && set_current_leaving(new_report.id)
                   ? report_effect::changed
                   : report_effect::none;
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
    return withdraw_start(id, started);
}

bool local_upstream::withdraw_start(
    const std::string& id, std::uint64_t started)
{
    auto& known = find_or_add(id);
    const auto last = known.last_order ? known.last_order->started : 0;
    if (started != 0 && started < last)
    {
        return false;
    }
    known.withdrawn = true;
    // Reports of this start are then no later start's.
    if (started > last)
    {
        known.last_order = report_order{started, 0};
    }
    return set_current_leaving(id);
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
    return current_ && reachable_ && knows_withdrawals_ && !current_->leaving;
}

} // namespace nutmegusher::routed
