// Balances the leadership of the groups over the hosts, and hands it over
// before a planned stop.
#include "nutmegusher/node/control_loop.hpp"

#include <algorithm>
#include <vector>

namespace nutmegusher::node::internal
{

namespace
{

constexpr duration balance_interval = std::chrono::seconds(2);
constexpr duration hand_over_pause = std::chrono::milliseconds(20);

std::vector<messages::replica_member> sorted_voters(const replica& core)
{
    std::vector<messages::replica_member> voters;
    for (const auto& member : core.members().members())
    {
        if (member.voter())
        {
            voters.push_back(member);
        }
    }
    std::sort(
        voters.begin(),
        voters.end(),
        [](const auto& left, const auto& right)
        {
            return left.host() < right.host();
        });
    return voters;
}

void transfer(replica& core, replica_id to, time_point now)
{
    leaf::try_handle_all(
        [&]
        {
            return core.transfer_leadership(to, now);
        },
        [] {});
}

// Returns a voter that could lead at once: it is active and lacks no entries.
std::optional<replica_id> best_successor(const replica& core, time_point now)
{
    for (const auto& member : sorted_voters(core))
    {
        const replica_id id(member.identity());
        if (id != core.id() && can_take_leadership(core, id, now))
        {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

// When all hosts are healthy each claim group is led by a different one, so
// that they share the load. Leadership returns to that host after a failure.
void control_loop::balance_leaders()
{
    const auto now = host_clock().now();
    if (now < next_leader_balance_ || handing_over_)
    {
        return;
    }
    next_leader_balance_ = now + balance_interval;
    for (auto& group : claims_)
    {
        if (group->running() == nullptr || !leads(group->number()))
        {
            continue;
        }
        auto& core = group->running()->core();
        const auto voters = sorted_voters(core);
        if (voters.empty() || !core.members_committed())
        {
            continue;
        }
        const auto preferred_index = (group->number() - 1) % voters.size();
        const replica_id preferred(voters[preferred_index].identity());
        if (preferred != core.id() && can_take_leadership(core, preferred, now))
        {
            transfer(core, preferred, now);
            schedule_turn();
        }
    }
}

asio::awaitable<void> control_loop::hand_over(duration limit)
{
    const auto self = shared_from_this();
    const auto deadline = host_clock().now() + limit;
    handing_over_ = true;
    while (host_clock().now() < deadline && hand_over_groups())
    {
        schedule_turn();
        co_await pause(hand_over_pause);
    }
}

// Returns true while this host leads a group that another host could lead.
bool control_loop::hand_over_groups()
{
    const auto now = host_clock().now();
    bool transferring = false;
    for_each_group(
        [&](auto& group)
        {
            if (group.running() == nullptr)
            {
                return;
            }
            auto& core = group.running()->core();
            core.decline_leadership();
            if (core.role() != replica_role::leader)
            {
                return;
            }
            if (const auto successor = best_successor(core, now))
            {
                transfer(core, *successor, now);
                transferring = true;
            }
        });
    return transferring;
}

} // namespace nutmegusher::node::internal
