#include "nutmegusher/policy/rank_queue.hpp"

#include <algorithm>
#include <iterator>

namespace nutmegusher::internal
{

std::size_t rank_queue::level_of(const call_facts& call)
{
    const std::size_t rank = std::min<std::size_t>(call.rank, rank_count - 1);
    return rank * 2 + (call.sub_call ? 0 : 1);
}

void rank_queue::push(const waiting_call& call)
{
    const std::size_t index = level_of(call.facts);
    level& where = levels_[index];
    const auto line = line_for(where, call.facts.customer);
    const auto place = line->calls.insert(line->calls.end(), call);
    resize_line(where, *line, line->calls.size() - 1);
    ++where.size;
    positions_.emplace(call.facts.ticket, position{index, line, place});
    expiries_.emplace(call.latest_start, call.facts.ticket);
}

rank_queue::line_list::iterator
rank_queue::line_for(level& where, std::uint64_t customer)
{
    const auto found = where.by_customer.find(customer);
    if (found != where.by_customer.end())
    {
        return found->second;
    }
    const auto added =
        where.turns.insert(where.turns.end(), line{customer, {}});
    where.by_customer.emplace(customer, added);
    return added;
}

void rank_queue::resize_line(
    level& where, const line& changed, std::size_t before)
{
    const std::size_t after = changed.calls.size();
    if (before > 0)
    {
        where.by_length.erase({before, changed.customer});
    }
    if (after > 0)
    {
        where.by_length.emplace(after, changed.customer);
    }
}

waiting_call rank_queue::take(const position& from)
{
    level& where = levels_[from.level];
    const auto line = from.line;
    waiting_call taken = *from.call;
    const std::size_t before = line->calls.size();
    line->calls.erase(from.call);
    resize_line(where, *line, before);
    --where.size;
    expiries_.erase({taken.latest_start, taken.facts.ticket});
    positions_.erase(taken.facts.ticket);
    if (line->calls.empty())
    {
        where.by_customer.erase(line->customer);
        where.turns.erase(line);
    }
    return taken;
}

waiting_call rank_queue::take_ticket(ticket_id ticket)
{
    const position from = positions_.at(ticket);
    return take(from);
}

std::optional<waiting_call> rank_queue::pop()
{
    for (level& where : levels_)
    {
        if (where.size == 0)
        {
            continue;
        }
        const auto line = where.turns.begin();
        // The next customer's turn, before the line may go away.
        where.turns.splice(where.turns.end(), where.turns, line);
        return take_ticket(line->calls.front().facts.ticket);
    }
    return std::nullopt;
}

bool rank_queue::remove(ticket_id ticket)
{
    if (!positions_.contains(ticket))
    {
        return false;
    }
    take_ticket(ticket);
    return true;
}

std::optional<waiting_call> rank_queue::pop_expired(time_point now)
{
    if (expiries_.empty() || expiries_.begin()->first >= now)
    {
        return std::nullopt;
    }
    return take_ticket(expiries_.begin()->second);
}

std::optional<time_point> rank_queue::next_expiry() const
{
    if (expiries_.empty())
    {
        return std::nullopt;
    }
    return expiries_.begin()->first;
}

std::size_t
rank_queue::calls_of(const level& where, std::uint64_t customer) const
{
    const auto found = where.by_customer.find(customer);
    return found == where.by_customer.end() ? 0 : found->second->calls.size();
}

std::optional<waiting_call> rank_queue::displace_for(const call_facts& arrival)
{
    const std::size_t own = level_of(arrival);
    for (std::size_t index = levels_.size(); index-- > own;)
    {
        const level& where = levels_[index];
        if (where.size == 0)
        {
            continue;
        }
        const auto& [length, customer] = *where.by_length.rbegin();
        const std::size_t mine = calls_of(where, arrival.customer);
        if (index == own && length < mine + 2)
        {
            return std::nullopt;
        }
        const auto line = where.by_customer.at(customer);
        return take_ticket(line->calls.back().facts.ticket);
    }
    return std::nullopt;
}

std::size_t rank_queue::ahead_of(const call_facts& arrival) const
{
    const std::size_t own = level_of(arrival);
    std::size_t ahead = 0;
    for (std::size_t index = 0; index < own; ++index)
    {
        ahead += levels_[index].size;
    }
    const level& where = levels_[own];
    const std::size_t mine = calls_of(where, arrival.customer);
    // Each other customer gets as many turns as this one before its newest.
    const std::size_t turns = (mine + 1) * where.turns.size();
    return ahead + std::min(where.size, turns);
}

bool rank_queue::heaviest(const call_facts& arrival) const
{
    const level& where = levels_[level_of(arrival)];
    if (where.by_length.empty())
    {
        return false;
    }
    const std::size_t mine = calls_of(where, arrival.customer);
    return mine > 1 && mine == where.by_length.rbegin()->first &&
           where.turns.size() > 1;
}

} // namespace nutmegusher::internal
