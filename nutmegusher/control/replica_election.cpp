// Elections: pre-vote, votes, and the receiver's side of a leadership transfer.
#include "nutmegusher/control/replica.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher
{

bool replica::is_voter(replica_id id) const
{
    const auto& members = log_.members().members();
    return std::any_of(
        members.begin(),
        members.end(),
        [id](const messages::replica_member& member)
        {
            return member.voter() && member.identity() == id.value();
        });
}

std::vector<replica_id> replica::voters() const
{
    std::vector<replica_id> found;
    for (const auto& member : log_.members().members())
    {
        if (member.voter())
        {
            found.emplace_back(member.identity());
        }
    }
    return found;
}

std::size_t replica::quorum() const
{
    return voters().size() / 2 + 1;
}

bool replica::has_live_leader(time_point now) const
{
    if (role_ == replica_role::leader)
    {
        return true;
    }
    return leader_ && leader_contact_at_ &&
           now - *leader_contact_at_ < settings_.timing.election_timeout;
}

// Runs a pre-vote first, so that a host that rejoins after a network partition
// doesn't raise the term and depose a working leader.
void replica::start_pre_vote(time_point now)
{
    set_election_deadline(
        leader_contact_at_ ? settings_.timing.election_timeout
                           : settings_.timing.start_timeout,
        now);
    leader_.reset();
    if (!is_voter(settings_.self))
    {
        return;
    }
    role_ = replica_role::pre_candidate;
    votes_ = {settings_.self};
    rejections_.clear();
    request_votes(true, false);
    count_votes(now);
}

void replica::start_election(bool transferred, time_point now)
{
    reset_election_deadline(now);
    role_ = replica_role::candidate;
    leader_.reset();
    set_term(term() + 1);
    state_.set_voted_for(settings_.self.value());
    // This replica's own vote counts once it is durable; see `saved`.
    vote_unsaved_ = true;
    votes_.clear();
    rejections_.clear();
    request_votes(false, transferred);
}

void replica::request_votes(bool pre_vote, bool transferred)
{
    for (const auto to : voters())
    {
        if (to == settings_.self)
        {
            continue;
        }
        auto message = make_message(to);
        message.set_term(pre_vote ? term() + 1 : term());
        auto& vote = *message.mutable_vote();
        vote.set_last_index(log_.last_index());
        vote.set_last_term(log_.last_term());
        vote.set_pre_vote(pre_vote);
        vote.set_transfer(transferred);
        queue(std::move(message));
    }
}

bool replica::is_up_to_date(const messages::vote_request& vote) const
{
    if (vote.last_term() != log_.last_term())
    {
        return vote.last_term() > log_.last_term();
    }
    return vote.last_index() >= log_.last_index();
}

void replica::on_vote_request(
    const messages::replica_message& message, time_point now)
{
    const auto& vote = message.vote();
    const bool has_free_vote = state_.voted_for() == 0 && !leader_;
    const bool may_vote = state_.voted_for() == message.from() ||
                          has_free_vote ||
                          (vote.pre_vote() && message.term() > term());
    const bool granted = may_vote && is_up_to_date(vote);
    auto reply = make_message(replica_id(message.from()));
    reply.mutable_voted()->set_pre_vote(vote.pre_vote());
    reply.mutable_voted()->set_granted(granted);
    if (granted && vote.pre_vote())
    {
        reply.set_term(message.term());
    }
    else if (granted)
    {
        state_.set_voted_for(message.from());
        reset_election_deadline(now);
    }
    queue(std::move(reply));
}

void replica::on_vote_reply(
    const messages::replica_message& message, time_point now)
{
    const auto& reply = message.voted();
    const auto expected_role = reply.pre_vote() ? replica_role::pre_candidate
                                                : replica_role::candidate;
    if (role_ != expected_role)
    {
        return;
    }
    const auto granted_term = reply.pre_vote() ? term() + 1 : term();
    const replica_id from(message.from());
    if (reply.granted() && message.term() == granted_term)
    {
        votes_.insert(from);
    }
    else if (!reply.granted())
    {
        rejections_.insert(from);
    }
    count_votes(now);
}

void replica::count_votes(time_point now)
{
    const auto all = voters();
    const auto count = [&all](const std::set<replica_id>& from)
    {
        return static_cast<std::size_t>(std::count_if(
            all.begin(),
            all.end(),
            [&from](replica_id voter)
            {
                return from.contains(voter);
            }));
    };
    if (count(votes_) >= quorum())
    {
        if (role_ == replica_role::pre_candidate)
        {
            start_election(false, now);
        }
        else
        {
            become_leader(now);
        }
    }
    else if (count(rejections_) >= quorum())
    {
        become_follower(term(), std::nullopt, now);
    }
}

void replica::become_leader(time_point now)
{
    role_ = replica_role::leader;
    leader_ = settings_.self;
    min_lease_start_ = now;
    peers_.clear();
    round_starts_.clear();
    refresh_peers();
    // Entries of earlier terms are committed only together with an entry of
    // this term, so the leader appends one at once.
    messages::log_entry entry;
    entry.set_no_operation(true);
    append_to_log(std::move(entry));
    start_round(now);
}

void replica::on_timeout_now(time_point now)
{
    if (role_ != replica_role::leader && is_voter(settings_.self) &&
        !declines_leadership_)
    {
        start_election(true, now);
    }
}

} // namespace nutmegusher
