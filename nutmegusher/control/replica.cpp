#include "nutmegusher/control/replica.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher
{

leaf::result<replica> replica::create(
    const replica_settings& settings,
    recovered_log recovered,
    random_engine& engine,
    time_point now)
{
    if (settings.self == replica_id())
    {
        return leaf::new_error(
            replica_failure{replica_refusal::unknown_member});
    }
    return replica(settings, std::move(recovered), engine, now);
}

replica::replica(
    const replica_settings& settings,
    recovered_log recovered,
    random_engine& engine,
    time_point now)
    : settings_(settings)
    , engine_(&engine)
    , state_(std::move(recovered.state))
    , log_(recovered.base, std::move(recovered.entries))
    , last_now_(now)
{
    while (run_id_ == 0)
    {
        run_id_ = engine();
    }
    const auto hint = std::min(state_.commit(), log_.last_index());
    state_.set_commit(std::max(hint, log_.base_index()));
    saved_state_ = state_;
    saved_index_ = log_.last_index();
    handed_out_index_ = saved_index_;
    applied_index_ = log_.base_index();
    reported_.term = state_.term();
    set_election_deadline(settings_.timing.start_timeout, now);
}

void replica::tick(time_point now)
{
    last_now_ = now;
    if (role_ != replica_role::leader)
    {
        if (now >= election_deadline_)
        {
            start_pre_vote(now);
        }
        return;
    }
    if (!holds_lease(now))
    {
        become_follower(term(), std::nullopt, now);
        return;
    }
    check_transfer(now);
    if (now >= next_heartbeat_)
    {
        start_round(now);
    }
}

void replica::step(const messages::replica_message& message, time_point now)
{
    last_now_ = now;
    if (message.group() != settings_.group ||
        replica_id(message.to()) != settings_.self || message.from() == 0 ||
        message.from() == message.to())
    {
        return;
    }
    // A leader whose process was suspended must step down before it processes
    // replies that arrived late.
    if (role_ == replica_role::leader && !holds_lease(now))
    {
        become_follower(term(), std::nullopt, now);
    }
    if (accepts_term(message, now))
    {
        dispatch(message, now);
    }
}

bool replica::accepts_term(
    const messages::replica_message& message, time_point now)
{
    const bool is_append = message.has_append() || message.has_install();
    const replica_id from(message.from());
    if (message.term() < term())
    {
        // A reply with the current term informs a deposed leader or an outdated
        // candidate.
        if (is_append)
        {
            reply_append(from, false, log_.last_index(), 0);
        }
        else if (message.has_vote() && message.vote().pre_vote())
        {
            auto reply = make_message(from);
            reply.mutable_voted()->set_pre_vote(true);
            queue(std::move(reply));
        }
        return false;
    }
    if (message.term() == term())
    {
        return true;
    }
    if (message.has_vote())
    {
        if (has_live_leader(now) && !message.vote().transfer())
        {
            return false;
        }
        if (message.vote().pre_vote())
        {
            return true;
        }
    }
    if (message.has_voted() && message.voted().pre_vote() &&
        message.voted().granted())
    {
        return true;
    }
    become_follower(
        message.term(), is_append ? std::optional(from) : std::nullopt, now);
    return true;
}

void replica::dispatch(const messages::replica_message& message, time_point now)
{
    switch (message.body_case())
    {
    case messages::replica_message::kVote:
        on_vote_request(message, now);
        break;
    case messages::replica_message::kVoted:
        on_vote_reply(message, now);
        break;
    case messages::replica_message::kAppend:
        on_append(message, now);
        break;
    case messages::replica_message::kAppended:
        on_append_reply(message, now);
        break;
    case messages::replica_message::kInstall:
        on_install(message, now);
        break;
    case messages::replica_message::kStand:
        on_timeout_now(now);
        break;
    case messages::replica_message::BODY_NOT_SET:
        break;
    }
}

void replica::become_follower(
    log_term term, std::optional<replica_id> leader, time_point now)
{
    if (role_ == replica_role::leader)
    {
        lose_leadership();
    }
    if (term > state_.term())
    {
        set_term(term);
    }
    role_ = replica_role::follower;
    leader_ = leader;
    vote_unsaved_ = false;
    reset_election_deadline(now);
}

void replica::set_term(log_term term)
{
    state_.set_term(term);
    state_.set_voted_for(0);
}

void replica::lose_leadership()
{
    for (const auto& read : reads_)
    {
        failed_reads_.push_back(read.ticket);
    }
    reads_.clear();
    transfer_.reset();
    peers_.clear();
    early_messages_.clear();
}

void replica::reset_election_deadline(time_point now)
{
    set_election_deadline(settings_.timing.election_timeout, now);
}

void replica::set_election_deadline(duration timeout, time_point now)
{
    const auto jitter =
        uniform_below(*engine_, static_cast<std::uint64_t>(timeout.count()));
    election_deadline_ =
        now + timeout + duration(static_cast<duration::rep>(jitter));
}

messages::replica_message replica::make_message(replica_id to) const
{
    messages::replica_message message;
    message.set_group(settings_.group);
    message.set_from(settings_.self.value());
    message.set_to(to.value());
    message.set_term(term());
    return message;
}

void replica::queue(messages::replica_message message)
{
    queued_messages_.push_back(std::move(message));
}

void replica::commit_to(log_index index)
{
    if (index > commit())
    {
        state_.set_commit(std::min(index, log_.last_index()));
    }
}

std::optional<replica_ready> replica::take_ready(time_point now)
{
    last_now_ = now;
    if (role_ == replica_role::leader)
    {
        if (!reads_.empty() && !reads_.back().round)
        {
            start_round(now);
        }
        send_to_all(false, now);
        if (own_term_committed())
        {
            freshness_.add_proof(commit(), majority_acknowledged_at());
        }
    }
    replica_ready ready;
    ready.early_messages = std::exchange(early_messages_, {});
    ready.messages = std::exchange(queued_messages_, {});
    collect_storage(ready);
    collect_commits(ready);
    collect_leadership(ready);
    if (ready.early_messages.empty() && ready.messages.empty() &&
        !ready.must_sync && ready.committed.empty() && ready.reads.empty() &&
        ready.failed_reads.empty() && !ready.changed_leadership)
    {
        return std::nullopt;
    }
    return ready;
}

void replica::collect_storage(replica_ready& ready)
{
    const bool vote_changed = state_.term() != saved_state_.term() ||
                              state_.voted_for() != saved_state_.voted_for();
    ready.install = std::exchange(install_, std::nullopt);
    for (auto i = handed_out_index_ + 1; i <= log_.last_index(); ++i)
    {
        ready.entries.push_back(log_.at(i));
    }
    handed_out_index_ = log_.last_index();
    if (vote_changed || ready.install || !ready.entries.empty())
    {
        ready.state = state_;
        ready.must_sync = true;
        saved_state_ = state_;
    }
}

void replica::collect_commits(replica_ready& ready)
{
    while (applied_index_ < commit())
    {
        ++applied_index_;
        ready.committed.push_back(log_.at(applied_index_));
    }
    freshness_.applied(applied_index_);
    ready.reads = std::exchange(confirmed_reads_, {});
    ready.failed_reads = std::exchange(failed_reads_, {});
}

void replica::collect_leadership(replica_ready& ready)
{
    const leadership present{term(), leader_};
    if (!(present == reported_))
    {
        reported_ = present;
        ready.changed_leadership = present;
    }
}

void replica::saved()
{
    saved_index_ = handed_out_index_;
    if (role_ == replica_role::candidate && vote_unsaved_)
    {
        vote_unsaved_ = false;
        votes_.insert(settings_.self);
        count_votes(last_now_);
    }
    else if (role_ == replica_role::leader)
    {
        advance_commit();
    }
}

void replica::compact(log_index index)
{
    const auto limit = std::min(index, applied_index_);
    if (limit > log_.base_index())
    {
        log_.compact(limit);
    }
}

void replica::set_snapshot_source(snapshot_source source)
{
    snapshot_source_ = std::move(source);
}

} // namespace nutmegusher
