// Requests from the local host: proposals, reads, membership, leadership
// transfer.
#include "nutmegusher/control/replica.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace nutmegusher
{

namespace
{

std::set<std::uint64_t> voters_of(const messages::replica_set& members)
{
    std::set<std::uint64_t> voters;
    for (const auto& member : members.members())
    {
        if (member.voter())
        {
            voters.insert(member.identity());
        }
    }
    return voters;
}

// True if no identity is 0 or occurs twice.
bool has_distinct_identities(const messages::replica_set& members)
{
    std::set<std::uint64_t> seen;
    for (const auto& member : members.members())
    {
        if (member.identity() == 0 || !seen.insert(member.identity()).second)
        {
            return false;
        }
    }
    return true;
}

} // namespace

leaf::result<proposal_position>
replica::propose(messages::log_entry payload, time_point now)
{
    last_now_ = now;
    if (!holds_lease(now))
    {
        return leaf::new_error(replica_failure{replica_refusal::not_leader});
    }
    const auto uncommitted = log_.last_index() - commit();
    if (transfer_ || uncommitted >= settings_.limits.uncommitted_entries)
    {
        return leaf::new_error(replica_failure{replica_refusal::busy});
    }
    return append_to_log(std::move(payload));
}

proposal_position replica::append_to_log(messages::log_entry entry)
{
    entry.set_index(log_.last_index() + 1);
    entry.set_term(term());
    const proposal_position position{entry.index(), entry.term()};
    log_.append(std::move(entry));
    return position;
}

leaf::result<proposal_position>
replica::propose_members(messages::replica_set members, time_point now)
{
    last_now_ = now;
    if (!holds_lease(now))
    {
        return leaf::new_error(replica_failure{replica_refusal::not_leader});
    }
    if (const auto refusal = check_members(members))
    {
        return leaf::new_error(replica_failure{*refusal});
    }
    messages::log_entry entry;
    *entry.mutable_membership() = std::move(members);
    const auto position = append_to_log(std::move(entry));
    refresh_peers();
    return position;
}

std::optional<replica_refusal>
replica::check_members(const messages::replica_set& members) const
{
    // Any majorities of two consecutive memberships must overlap. That holds
    // only if the earlier one is committed and this leader has committed an
    // entry in its own term.
    if (!members_committed() || !own_term_committed())
    {
        return replica_refusal::membership_pending;
    }
    if (transfer_)
    {
        return replica_refusal::busy;
    }
    const auto before = voters_of(log_.members());
    const auto after = voters_of(members);
    if (after.empty() || !has_distinct_identities(members))
    {
        return replica_refusal::unknown_member;
    }
    std::vector<std::uint64_t> changed;
    std::set_symmetric_difference(
        before.begin(),
        before.end(),
        after.begin(),
        after.end(),
        std::back_inserter(changed));
    if (changed.size() > 1)
    {
        return replica_refusal::too_many_changes;
    }
    if (changed.size() == 1 && after.contains(changed.front()))
    {
        const auto learner = peers_.find(replica_id(changed.front()));
        if (learner == peers_.end() || learner->second.match < commit())
        {
            return replica_refusal::not_caught_up;
        }
    }
    return std::nullopt;
}

leaf::result<read_ticket> replica::read(time_point now)
{
    last_now_ = now;
    if (!holds_lease(now))
    {
        return leaf::new_error(replica_failure{replica_refusal::not_leader});
    }
    const read_ticket ticket(next_ticket_++);
    reads_.push_back({ticket, std::nullopt});
    return ticket;
}

leaf::result<void> replica::transfer_leadership(replica_id to, time_point now)
{
    last_now_ = now;
    if (!holds_lease(now))
    {
        return leaf::new_error(replica_failure{replica_refusal::not_leader});
    }
    if (transfer_ && transfer_->target != to)
    {
        return leaf::new_error(
            replica_failure{replica_refusal::already_transferring});
    }
    if (to == settings_.self || !is_voter(to))
    {
        return leaf::new_error(
            replica_failure{replica_refusal::unknown_member});
    }
    const auto target = peers_.find(to);
    if (target != peers_.end() && target->second.declines_leadership)
    {
        return leaf::new_error(replica_failure{replica_refusal::declined});
    }
    if (!transfer_)
    {
        transfer_ =
            transfer{to, now + settings_.timing.election_timeout, false};
    }
    check_transfer(now);
    return {};
}

void replica::decline_leadership()
{
    declines_leadership_ = true;
}

} // namespace nutmegusher
