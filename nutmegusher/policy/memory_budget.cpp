#include "nutmegusher/policy/memory_budget.hpp"

#include <algorithm>

namespace nutmegusher
{

memory_budget::memory_budget(std::uint64_t capacity)
    : capacity_(capacity)
{
}

void memory_budget::set_capacity(std::uint64_t capacity)
{
    capacity_ = capacity;
}

memory_holder memory_budget::open(time_point now)
{
    const memory_holder id{++last_id_};
    holders_[id].since = now;
    return id;
}

void memory_budget::set_use(memory_holder id, memory_use use, time_point now)
{
    auto& found = holders_.at(id);
    found.use = use;
    found.since = now;
}

memory_decision
memory_budget::take(memory_holder id, std::uint64_t bytes, time_point now)
{
    memory_decision decision;
    auto& asking = holders_.at(id);
    if (asking.evicted)
    {
        return decision;
    }
    while (!fits(asking, bytes))
    {
        auto victim = find_stalled(id, now);
        const auto equal_share = capacity_ / holders_.size();
        if (victim == holders_.end() && asking.bytes + bytes <= equal_share)
        {
            victim = find_larger(asking.bytes + bytes);
        }
        if (victim == holders_.end())
        {
            return decision;
        }
        evict(victim, decision);
    }
    asking.bytes += bytes;
    asking.since = now;
    held_ += bytes;
    decision.granted = true;
    return decision;
}

void memory_budget::give_back(memory_holder id, std::uint64_t bytes)
{
    auto& found = holders_.at(id);
    const auto returned = std::min(found.bytes, bytes);
    found.bytes -= returned;
    held_ -= returned;
}

void memory_budget::close(memory_holder id)
{
    const auto found = holders_.find(id);
    held_ -= found->second.bytes;
    holders_.erase(found);
}

std::uint64_t memory_budget::largest_share() const
{
    return capacity_ - capacity_ / small_holders_part;
}

bool memory_budget::fits(const holder& asking, std::uint64_t bytes) const
{
    const bool is_small = asking.bytes + bytes <= small_bytes;
    return held_ + bytes <= (is_small ? capacity_ : largest_share());
}

// Requests that arrive go before answers: they haven't run.
memory_budget::holders::iterator
memory_budget::find_stalled(memory_holder asking, time_point now)
{
    auto longest = holders_.end();
    for (auto each = holders_.begin(); each != holders_.end(); ++each)
    {
        const auto& holder = each->second;
        if (each->first == asking || holder.evicted ||
            holder.use == memory_use::in_use || holder.bytes == 0 ||
            now - holder.since < stall_time)
        {
            continue;
        }
        const bool is_better = longest == holders_.end() ||
                               holder.use < longest->second.use ||
                               (holder.use == longest->second.use &&
                                holder.since < longest->second.since);
        longest = is_better ? each : longest;
    }
    return longest;
}

// The largest request that is arriving and has more than `bytes`.
memory_budget::holders::iterator memory_budget::find_larger(std::uint64_t bytes)
{
    auto largest = holders_.end();
    auto most = bytes;
    for (auto each = holders_.begin(); each != holders_.end(); ++each)
    {
        const auto& holder = each->second;
        if (holder.use == memory_use::arriving && !holder.evicted &&
            holder.bytes > most)
        {
            largest = each;
            most = holder.bytes;
        }
    }
    return largest;
}

void memory_budget::evict(holders::iterator which, memory_decision& decision)
{
    held_ -= which->second.bytes;
    which->second.bytes = 0;
    which->second.evicted = true;
    decision.evicted.push_back(which->first);
}

} // namespace nutmegusher
