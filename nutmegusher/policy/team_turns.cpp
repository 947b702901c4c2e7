#include "nutmegusher/policy/team_turns.hpp"

#include <algorithm>
#include <iterator>

namespace nutmegusher::internal
{

namespace
{

std::size_t count_before(const std::set<queue_place>& of, const queue_place& at)
{
    const auto end = of.lower_bound(at);
    return static_cast<std::size_t>(std::distance(of.begin(), end));
}

} // namespace

void team_turns::add(std::uint64_t team, const queue_place& at)
{
    ++size_;
    if (team == 0)
    {
        without_team_.insert(at);
        return;
    }
    const auto [found, is_new] = teams_.try_emplace(team);
    if (is_new)
    {
        found->second.turn = order_.insert(order_.end(), team);
    }
    found->second.waiting.insert(at);
}

void team_turns::remove(std::uint64_t team, const queue_place& at)
{
    if (team == 0)
    {
        size_ -= without_team_.erase(at);
        return;
    }
    const auto found = teams_.find(team);
    if (found == teams_.end())
    {
        return;
    }
    size_ -= found->second.waiting.erase(at);
    if (found->second.waiting.empty())
    {
        order_.erase(found->second.turn);
        teams_.erase(found);
    }
}

void team_turns::on_start(std::uint64_t team)
{
    const auto found = teams_.find(team);
    if (found != teams_.end())
    {
        order_.splice(order_.end(), order_, found->second.turn);
    }
}

std::optional<queue_place> team_turns::next() const
{
    std::optional<queue_place> earliest;
    if (!order_.empty())
    {
        earliest = *teams_.at(order_.front()).waiting.begin();
    }
    if (!without_team_.empty())
    {
        const auto& other = *without_team_.begin();
        earliest = earliest ? std::min(*earliest, other) : other;
    }
    return earliest;
}

// In the rounds until the call's own turn, each other team starts as many calls
// as the call's team has before it, and one more if its turn is earlier, which
// is taken to be so.
std::size_t
team_turns::ahead_of(std::uint64_t team, const queue_place& at) const
{
    std::size_t ahead = count_before(without_team_, at);
    if (team == 0)
    {
        for (const auto& [id, queue] : teams_)
        {
            ahead += count_before(queue.waiting, at);
        }
        return ahead;
    }
    const auto own = teams_.find(team);
    const auto before =
        own == teams_.end() ? 0 : count_before(own->second.waiting, at);
    ahead += before;
    for (const auto& [id, queue] : teams_)
    {
        ahead += id == team ? 0 : std::min(queue.waiting.size(), before + 1);
    }
    return ahead;
}

} // namespace nutmegusher::internal
