#include "nutmegusher/control/withdrawal_table.hpp"

#include <algorithm>

namespace nutmegusher
{

namespace
{

messages::upstream_withdrawal make_withdrawal(
    const std::string& host, const std::string& upstream, std::uint64_t started)
{
    messages::upstream_withdrawal made;
    made.set_host(host);
    made.set_upstream(upstream);
    made.set_started(started);
    return made;
}

} // namespace

withdrawal_table::withdrawal_table(std::size_t limit)
    : limit_(limit)
{
}

bool withdrawal_table::add(const messages::upstream_withdrawal& withdrawal)
{
    if (contains(withdrawal))
    {
        return false;
    }
    order_.push_back(withdrawal.host());
    by_host_[withdrawal.host()].push_back(
        {withdrawal.upstream(), withdrawal.started()});
    if (order_.size() > limit_)
    {
        remove_oldest();
    }
    return true;
}

bool withdrawal_table::contains(
    const messages::upstream_withdrawal& withdrawal) const
{
    const auto found = by_host_.find(withdrawal.host());
    if (found == by_host_.end())
    {
        return false;
    }
    return std::any_of(
        found->second.begin(),
        found->second.end(),
        [&withdrawal](const lifetime& each)
        {
            return each.upstream == withdrawal.upstream() &&
                   each.started == withdrawal.started();
        });
}

std::vector<messages::upstream_withdrawal>
withdrawal_table::of_host(std::string_view host) const
{
    std::vector<messages::upstream_withdrawal> listed;
    const auto found = by_host_.find(host);
    if (found != by_host_.end())
    {
        for (const auto& each : found->second)
        {
            listed.push_back(
                make_withdrawal(found->first, each.upstream, each.started));
        }
    }
    return listed;
}

std::vector<messages::upstream_withdrawal> withdrawal_table::all() const
{
    std::vector<messages::upstream_withdrawal> listed;
    std::map<std::string_view, std::size_t> listed_by_host;
    for (const auto& host : order_)
    {
        const auto& each =
            by_host_.find(host)->second.at(listed_by_host[host]++);
        listed.push_back(make_withdrawal(host, each.upstream, each.started));
    }
    return listed;
}

// The oldest withdrawal is also the oldest one of its host.
void withdrawal_table::remove_oldest()
{
    const auto found = by_host_.find(order_.front());
    found->second.pop_front();
    if (found->second.empty())
    {
        by_host_.erase(found);
    }
    order_.pop_front();
}

} // namespace nutmegusher
