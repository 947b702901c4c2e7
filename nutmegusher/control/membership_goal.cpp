#include "nutmegusher/control/membership_plan.hpp"

#include <algorithm>
#include <vector>

namespace nutmegusher
{

namespace
{

// The members with what follows from looking at all of them.
class assessment
{
public:
    assessment(const voter_goal& goal, std::span<const member_view> present)
        : goal_(goal)
        , present_(present)
    {
    }

    [[nodiscard]] bool is_lost(const member_view& one) const
    {
        return one.silent_for >= goal_.lost_after || is_superseded(one);
    }

    // Silent, and its host is there under another identity.
    [[nodiscard]] bool is_superseded(const member_view& one) const
    {
        if (one.silent_for <= duration::zero())
        {
            return false;
        }
        const auto replaces = [&one](const member_view& other)
        {
            return other.member.identity() != one.member.identity() &&
                   other.member.host() == one.member.host() &&
                   other.silent_for < one.silent_for;
        };
        return std::any_of(present_.begin(), present_.end(), replaces);
    }

    [[nodiscard]] std::size_t voters() const
    {
        return count(
            [](const member_view& one)
            {
                return one.member.voter();
            });
    }

    [[nodiscard]] std::size_t sound_voters() const
    {
        return count(
            [this](const member_view& one)
            {
                return one.member.voter() && !is_lost(one);
            });
    }

    // The learner to promote.
    [[nodiscard]] const member_view* ready_learner() const
    {
        return first(
            [this](const member_view& one)
            {
                return !one.member.voter() && one.caught_up && !is_lost(one);
            });
    }

    [[nodiscard]] const member_view* lost_learner() const
    {
        return first(
            [this](const member_view& one)
            {
                return !one.member.voter() && is_lost(one);
            });
    }

    // The lost voter that was silent for longest.
    [[nodiscard]] const member_view* lost_voter() const
    {
        const member_view* found = nullptr;
        for (const auto& one : present_)
        {
            const bool longer =
                found == nullptr || one.silent_for > found->silent_for;
            if (one.member.voter() && is_lost(one) && longer)
            {
                found = &one;
            }
        }
        return found;
    }

    [[nodiscard]] bool has(const messages::replica_member& member) const
    {
        return first(
                   [&member](const member_view& one)
                   {
                       return one.member.identity() == member.identity();
                   }) != nullptr;
    }

    // The present members without `removed`.
    [[nodiscard]] messages::replica_set
    without(const member_view* removed) const
    {
        messages::replica_set set;
        for (const auto& one : present_)
        {
            if (&one != removed)
            {
                *set.add_members() = one.member;
            }
        }
        return set;
    }

private:
    template <class Accept>
    [[nodiscard]] std::size_t count(const Accept& accept) const
    {
        return static_cast<std::size_t>(
            std::count_if(present_.begin(), present_.end(), accept));
    }

    template <class Accept>
    [[nodiscard]] const member_view* first(const Accept& accept) const
    {
        const auto found =
            std::find_if(present_.begin(), present_.end(), accept);
        return found == present_.end() ? nullptr : &*found;
    }

    const voter_goal& goal_;
    std::span<const member_view> present_;
};

} // namespace

std::optional<messages::replica_set> membership_towards(
    const voter_goal& goal,
    std::span<const member_view> present,
    std::span<const messages::replica_member> asking)
{
    const assessment now(goal, present);
    const auto sound = now.sound_voters();
    const auto* const ready = now.ready_learner();
    if (ready != nullptr && sound < goal.voters)
    {
        auto set = now.without(ready);
        *set.add_members() = ready->member;
        set.mutable_members()->rbegin()->set_voter(true);
        return set;
    }
    const auto* const lost = now.lost_voter();
    const auto left = now.voters() - 1;
    if (lost != nullptr && now.voters() > goal.voters && sound > left / 2)
    {
        return now.without(lost);
    }
    if (const auto* const learner = now.lost_learner())
    {
        return now.without(learner);
    }
    for (const auto& member : asking)
    {
        if (!now.has(member))
        {
            auto set = now.without(nullptr);
            *set.add_members() = member;
            set.mutable_members()->rbegin()->set_voter(false);
            return set;
        }
    }
    return std::nullopt;
}

} // namespace nutmegusher
