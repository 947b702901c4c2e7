#include "nutmegusher/control/membership_plan.hpp"

#include <algorithm>

namespace nutmegusher
{

namespace
{

bool is_replaced(
    const messages::replica_member& member, const replacement& wanted)
{
    return member.host() == wanted.old_host.str() &&
           member.identity() != wanted.added.identity();
}

// The member to remove: the last voter of the old host, or else its first
// learner.
const messages::replica_member*
find_replaced(const messages::replica_set& present, const replacement& wanted)
{
    const messages::replica_member* found = nullptr;
    for (const auto& member : present.members())
    {
        if (is_replaced(member, wanted) && (found == nullptr || member.voter()))
        {
            found = &member;
        }
    }
    return found;
}

} // namespace

replacement_step next_step(
    const messages::replica_set& present,
    const replacement& wanted,
    bool caught_up)
{
    const auto& members = present.members();
    const auto added = std::find_if(
        members.begin(),
        members.end(),
        [&wanted](const auto& member)
        {
            return member.identity() == wanted.added.identity();
        });
    if (added == members.end())
    {
        return replacement_step::add_learner;
    }
    if (!added->voter())
    {
        return caught_up ? replacement_step::promote
                         : replacement_step::catch_up;
    }
    return find_replaced(present, wanted) == nullptr
               ? replacement_step::done
               : replacement_step::remove_old;
}

std::optional<messages::replica_set> membership_after(
    const messages::replica_set& present,
    const replacement& wanted,
    replacement_step step)
{
    auto changed = present;
    auto& members = *changed.mutable_members();
    switch (step)
    {
    case replacement_step::add_learner:
    {
        auto& added = *changed.add_members();
        added = wanted.added;
        added.set_voter(false);
        return changed;
    }
    case replacement_step::promote:
        for (auto& member : members)
        {
            if (member.identity() == wanted.added.identity())
            {
                member.set_voter(true);
            }
        }
        return changed;
    case replacement_step::remove_old:
    {
        const auto* old = find_replaced(present, wanted);
        const auto identity = old == nullptr ? 0 : old->identity();
        const auto gone = std::find_if(
            members.begin(),
            members.end(),
            [identity](const auto& member)
            {
                return member.identity() == identity;
            });
        if (gone != members.end())
        {
            members.erase(gone);
        }
        return changed;
    }
    case replacement_step::catch_up:
    case replacement_step::done:
        break;
    }
    return std::nullopt;
}

namespace
{

// The progress of a member that holds all committed entries; no value if it
// lacks any.
std::optional<follower_progress>
caught_up_progress(const replica& core, replica_id member, time_point now)
{
    for (const auto& each : core.progress(now))
    {
        if (each.id == member && each.recently_active && !each.installing &&
            each.match >= core.commit())
        {
            return each;
        }
    }
    return std::nullopt;
}

} // namespace

bool is_caught_up(const replica& core, replica_id member, time_point now)
{
    return caught_up_progress(core, member, now).has_value();
}

bool can_take_leadership(const replica& core, replica_id member, time_point now)
{
    const auto progress = caught_up_progress(core, member, now);
    return progress && !progress->declines_leadership;
}

} // namespace nutmegusher
