#include "nutmegusher/control/membership_plan.hpp"

#include <algorithm>
#include <vector>

namespace nutmegusher
{

namespace
{

// Derives from all members which ones are lost, healthy or ready.
class assessment
{
public:
    assessment(const voter_goal& goal, std::span<const member_view> present)
        : goal_(goal)
        , present_(present)
    {
    }

    [[nodiscard]] bool is_lost(const member_view& each) const
    {
        return each.silent_for >= goal_.lost_after || is_superseded(each);
    }

    // True if the member is silent and its host is connected under another
    // identity.
    [[nodiscard]] bool is_superseded(const member_view& each) const
    {
        if (each.silent_for <= duration::zero())
        {
            return false;
        }
        const auto replaces = [&each](const member_view& other)
        {
            return other.member.identity() != each.member.identity() &&
                   other.member.host() == each.member.host() &&
                   other.silent_for < each.silent_for;
        };
        return std::any_of(present_.begin(), present_.end(), replaces);
    }

    [[nodiscard]] std::size_t voters() const
    {
        return count(
            [](const member_view& each)
            {
                return each.member.voter();
            });
    }

    [[nodiscard]] std::size_t healthy_voters() const
    {
        return count(
            [this](const member_view& each)
            {
                return each.member.voter() && !is_lost(each);
            });
    }

    // The learner to promote.
    [[nodiscard]] const member_view* ready_learner() const
    {
        return find_first(
            [this](const member_view& each)
            {
                return !each.member.voter() && each.caught_up && !is_lost(each);
            });
    }

    [[nodiscard]] const member_view* lost_learner() const
    {
        return find_first(
            [this](const member_view& each)
            {
                return !each.member.voter() && is_lost(each);
            });
    }

    // The lost voter that has been silent for the longest time.
    [[nodiscard]] const member_view* lost_voter() const
    {
        const member_view* found = nullptr;
        for (const auto& each : present_)
        {
            const bool longer =
                found == nullptr || each.silent_for > found->silent_for;
            if (each.member.voter() && is_lost(each) && longer)
            {
                found = &each;
            }
        }
        return found;
    }

    [[nodiscard]] bool contains(const messages::replica_member& member) const
    {
        return find_first(
                   [&member](const member_view& each)
                   {
                       return each.member.identity() == member.identity();
                   }) != nullptr;
    }

    // The present members without `removed`.
    [[nodiscard]] messages::replica_set
    without(const member_view* removed) const
    {
        messages::replica_set set;
        for (const auto& each : present_)
        {
            if (&each != removed)
            {
                *set.add_members() = each.member;
            }
        }
        return set;
    }

private:
    template <class Predicate>
    [[nodiscard]] std::size_t count(const Predicate& predicate) const
    {
        return static_cast<std::size_t>(
            std::count_if(present_.begin(), present_.end(), predicate));
    }

    template <class Predicate>
    [[nodiscard]] const member_view*
    find_first(const Predicate& predicate) const
    {
        const auto found =
            std::find_if(present_.begin(), present_.end(), predicate);
        return found == present_.end() ? nullptr : &*found;
    }

    const voter_goal& goal_;
    std::span<const member_view> present_;
};

} // namespace

std::optional<messages::replica_set> next_membership(
    const voter_goal& goal,
    std::span<const member_view> present,
    std::span<const messages::replica_member> join_requests)
{
    const assessment current(goal, present);
    const auto healthy = current.healthy_voters();
    const auto* const ready = current.ready_learner();
    if (ready != nullptr && healthy < goal.voters)
    {
        auto set = current.without(ready);
        *set.add_members() = ready->member;
        set.mutable_members()->rbegin()->set_voter(true);
        return set;
    }
    const auto* const lost = current.lost_voter();
    const auto remaining = current.voters() - 1;
    if (lost != nullptr && current.voters() > goal.voters &&
        healthy > remaining / 2)
    {
        return current.without(lost);
    }
    if (const auto* const learner = current.lost_learner())
    {
        return current.without(learner);
    }
    for (const auto& member : join_requests)
    {
        if (!current.contains(member))
        {
            auto set = current.without(nullptr);
            *set.add_members() = member;
            set.mutable_members()->rbegin()->set_voter(false);
            return set;
        }
    }
    return std::nullopt;
}

} // namespace nutmegusher
