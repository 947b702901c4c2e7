#include "nutmegusher/routed/local_upstream.hpp"

#include <algorithm>

namespace nutmegusher::routed
{

namespace
{

// Ids whose late reports are recognised. A host's upstream starts a few times
// an hour at most, and reports come seconds late, not hours.
constexpr std::size_t most_known_ids = 64;

} // namespace

local_upstream::known_id& local_upstream::remember(const std::string& id)
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
    if (known_.size() == most_known_ids)
    {
        known_.pop_front();
    }
    known_.push_back({id, std::nullopt, false});
    return known_.back();
}

report_effect local_upstream::report(const upstream_report& said)
{
    const std::scoped_lock lock(mutex_);
    auto& known = remember(said.id);
    const bool is_later_start =
        known.last && said.order.started > known.last->started;
    if (is_later_start)
    {
        known.withdrawn = false;
    }
    if (known.withdrawn || (known.last && said.order <= *known.last))
    {
        return report_effect::none;
    }
    known.last = said.order;
    const bool is_other_start =
        is_later_start || (current_ && current_->id != said.id);
    const bool same = current_ && reachable_ && current_->id == said.id &&
                      current_->address == said.address &&
                      current_->service == said.service &&
                      current_->slots == said.slots &&
                      current_->leaving == said.leaving;
    current_ = said;
    reachable_ = true;
    if (is_other_start)
    {
        return report_effect::started;
    }
    return same ? report_effect::none : report_effect::changed;
}

bool local_upstream::withdraw(const std::string& id, std::uint64_t started)
{
    const std::scoped_lock lock(mutex_);
    auto& known = remember(id);
    if (started != 0 && known.last && started < known.last->started)
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

bool local_upstream::unreachable(const std::string& id)
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
