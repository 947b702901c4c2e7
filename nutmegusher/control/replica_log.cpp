#include "nutmegusher/control/replica_log.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher
{

replica_log::replica_log(
    const messages::snapshot& base, std::vector<messages::log_entry> entries)
{
    reset(base);
    if (entries.empty() || entries.front().index() > base_index_ + 1)
    {
        return;
    }
    for (auto& entry : entries)
    {
        if (entry.index() == base_index_ && entry.term() != base_term_)
        {
            return; // entries of a log that the snapshot replaced
        }
        if (entry.index() > base_index_)
        {
            append(std::move(entry));
        }
    }
}

log_term replica_log::last_term() const
{
    return entries_.empty() ? base_term_ : entries_.back().term();
}

std::optional<log_term> replica_log::term_at(log_index index) const
{
    if (index == base_index_)
    {
        return base_term_;
    }
    if (index < base_index_ || index > last_index())
    {
        return std::nullopt;
    }
    return at(index).term();
}

log_index replica_log::first_of_term(log_index index) const
{
    const auto term = term_at(index);
    while (index > base_index_ + 1 && at(index - 1).term() == term)
    {
        --index;
    }
    return index;
}

void replica_log::append(messages::log_entry entry)
{
    if (entry.has_membership())
    {
        memberships_.push_back({entry.index(), entry.membership()});
    }
    entries_.push_back(std::move(entry));
}

void replica_log::truncate_after(log_index index)
{
    while (last_index() > index)
    {
        entries_.pop_back();
    }
    while (memberships_.size() > 1 && memberships_.back().index > index)
    {
        memberships_.pop_back();
    }
}

void replica_log::compact(log_index index)
{
    base_term_ = term_at(index).value_or(base_term_);
    while (base_index_ < index)
    {
        entries_.pop_front();
        ++base_index_;
    }
    while (memberships_.size() > 1 && memberships_[1].index <= index)
    {
        memberships_.erase(memberships_.begin());
    }
}

void replica_log::reset(const messages::snapshot& base)
{
    entries_.clear();
    memberships_.clear();
    base_index_ = base.last_index();
    base_term_ = base.last_term();
    memberships_.push_back({base_index_, base.members()});
}

const messages::replica_set& replica_log::members_at(log_index index) const
{
    const auto after = std::find_if(
        memberships_.begin(),
        memberships_.end(),
        [index](const indexed_membership& membership)
        {
            return membership.index > index;
        });
    if (after == memberships_.begin())
    {
        return after->members;
    }
    return std::prev(after)->members;
}

} // namespace nutmegusher
