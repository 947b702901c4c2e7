#include "nutmegusher/policy/rank_queue.hpp"

#include <algorithm>
#include <iterator>

namespace nutmegusher::internal
{

std::size_t rank_queue::level_of(const call_info& call)
{
    const std::size_t rank = std::min<std::size_t>(call.rank, rank_count - 1);
    return rank * 2 + (call.sub_call ? 0 : 1);
}

void rank_queue::push(const waiting_call& call)
{
    const std::size_t index = level_of(call.info);
    priority_level& level = levels_[index];
    const auto customer_queue = queue_for(level, call.info.customer);
    const auto place =
        customer_queue->calls.insert(customer_queue->calls.end(), call);
    update_length(level, *customer_queue, customer_queue->calls.size() - 1);
    ++level.size;
    positions_.emplace(
        call.info.ticket, position{index, customer_queue, place});
    expiries_.emplace(call.latest_start, call.info.ticket);
}

rank_queue::customer_queues::iterator
rank_queue::queue_for(priority_level& level, std::uint64_t customer)
{
    const auto found = level.by_customer.find(customer);
    if (found != level.by_customer.end())
    {
        return found->second;
    }
    const auto added = level.round_robin.insert(
        level.round_robin.end(), customer_queue{customer, {}});
    level.by_customer.emplace(customer, added);
    return added;
}

void rank_queue::update_length(
    priority_level& level, const customer_queue& changed, std::size_t before)
{
    const std::size_t after = changed.calls.size();
    if (before > 0)
    {
        level.by_length.erase({before, changed.customer});
    }
    if (after > 0)
    {
        level.by_length.emplace(after, changed.customer);
    }
}

waiting_call rank_queue::take(const position& from)
{
    priority_level& level = levels_[from.priority_level];
    const auto customer_queue = from.customer_queue;
    waiting_call taken = *from.call;
    const std::size_t before = customer_queue->calls.size();
    customer_queue->calls.erase(from.call);
    update_length(level, *customer_queue, before);
    --level.size;
    expiries_.erase({taken.latest_start, taken.info.ticket});
    positions_.erase(taken.info.ticket);
    if (customer_queue->calls.empty())
    {
        level.by_customer.erase(customer_queue->customer);
        level.round_robin.erase(customer_queue);
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
    for (priority_level& level : levels_)
    {
        if (level.size == 0)
        {
            continue;
        }
        const auto customer_queue = level.round_robin.begin();
        // Move the customer to the back first: `take_ticket` erases the queue
        // if it becomes empty.
        level.round_robin.splice(
            level.round_robin.end(), level.round_robin, customer_queue);
        return take_ticket(customer_queue->calls.front().info.ticket);
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
rank_queue::calls_of(const priority_level& level, std::uint64_t customer) const
{
    const auto found = level.by_customer.find(customer);
    return found == level.by_customer.end() ? 0 : found->second->calls.size();
}

std::optional<waiting_call> rank_queue::evict_for(const call_info& arrival)
{
    const std::size_t own_level = level_of(arrival);
    for (std::size_t index = levels_.size(); index-- > own_level;)
    {
        const priority_level& level = levels_[index];
        if (level.size == 0)
        {
            continue;
        }
        const auto& [length, customer] = *level.by_length.rbegin();
        const std::size_t own_calls = calls_of(level, arrival.customer);
        if (index == own_level && length < own_calls + 2)
        {
            return std::nullopt;
        }
        const auto customer_queue = level.by_customer.at(customer);
        return take_ticket(customer_queue->calls.back().info.ticket);
    }
    return std::nullopt;
}

std::size_t rank_queue::ahead_of(const call_info& arrival) const
{
    const std::size_t own_level = level_of(arrival);
    std::size_t ahead = 0;
    for (std::size_t index = 0; index < own_level; ++index)
    {
        ahead += levels_[index].size;
    }
    const priority_level& level = levels_[own_level];
    const std::size_t own_calls = calls_of(level, arrival.customer);
    // Until the customer's newest call runs, each other customer gets at most
    // as many turns as this one.
    const std::size_t turns = (own_calls + 1) * level.round_robin.size();
    return ahead + std::min(level.size, turns);
}

bool rank_queue::has_most_calls(const call_info& arrival) const
{
    const priority_level& level = levels_[level_of(arrival)];
    if (level.by_length.empty())
    {
        return false;
    }
    const std::size_t own_calls = calls_of(level, arrival.customer);
    return own_calls > 1 && own_calls == level.by_length.rbegin()->first &&
           level.round_robin.size() > 1;
}

} // namespace nutmegusher::internal
