// The follower's side of replication: accepts entries and snapshots.
#include "nutmegusher/control/replica.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher
{

namespace
{

bool is_consecutive(const messages::append_request& request)
{
    auto expected = request.previous_index();
    for (const auto& entry : request.entries())
    {
        ++expected;
        if (entry.index() != expected)
        {
            return false;
        }
    }
    return true;
}

// Rounded down, so that a reply never appears later than it was sent.
std::uint64_t to_us(time_point at)
{
    using std::chrono::microseconds;
    const auto since_start = at.time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::floor<microseconds>(since_start).count());
}

} // namespace

void replica::on_append(
    const messages::replica_message& message, time_point now)
{
    const replica_id from(message.from());
    const auto& request = message.append();
    if (role_ == replica_role::leader || !is_consecutive(request))
    {
        return;
    }
    become_follower(term(), from, now);
    leader_contact_at_ = now;
    leader_commit_ = std::max(leader_commit_, request.commit());
    record_proof(request, now);

    const auto previous = request.previous_index();
    if (previous < log_.base_index())
    {
        // Entries up to the commit index are known to match the leader's.
        reply_append(from, true, commit(), request.round());
        return;
    }
    if (previous > log_.last_index())
    {
        reply_append(from, false, log_.last_index(), request.round());
        return;
    }
    if (log_.term_at(previous) != request.previous_term())
    {
        const auto before = log_.first_of_term(previous) - 1;
        reply_append(from, false, std::max(commit(), before), request.round());
        return;
    }
    if (!accept_entries(request))
    {
        return;
    }
    const auto match =
        previous + static_cast<log_index>(request.entries_size());
    commit_to(std::min(request.commit(), match));
    reply_append(from, true, match, request.round());
}

void replica::record_proof(
    const messages::append_request& request, time_point now)
{
    const time_point replied(
        std::chrono::microseconds(request.heard_reply_us()));
    if (request.heard_run() == run_id_ && replied <= now)
    {
        const std::chrono::microseconds age(request.proof_age_us());
        freshness_.add_proof(request.commit(), replied - age);
    }
}

bool replica::accept_entries(const messages::append_request& request)
{
    for (const auto& entry : request.entries())
    {
        if (log_.term_at(entry.index()) == entry.term())
        {
            continue;
        }
        if (entry.index() <= commit())
        {
            return false; // contradicts a committed entry
        }
        if (entry.index() <= log_.last_index())
        {
            const auto kept = entry.index() - 1;
            log_.truncate_after(kept);
            saved_index_ = std::min(saved_index_, kept);
            handed_out_index_ = std::min(handed_out_index_, kept);
        }
        log_.append(entry);
    }
    return true;
}

void replica::reply_append(
    replica_id to, bool success, log_index match, std::uint64_t round)
{
    auto reply = make_message(to);
    auto& appended = *reply.mutable_appended();
    appended.set_success(success);
    appended.set_match_index(match);
    appended.set_round(round);
    appended.set_declines_leadership(declines_leadership_);
    appended.set_run(run_id_);
    appended.set_replied_us(to_us(last_now_));
    queue(std::move(reply));
}

void replica::on_install(
    const messages::replica_message& message, time_point now)
{
    if (role_ == replica_role::leader)
    {
        return;
    }
    const replica_id from(message.from());
    const auto& content = message.install().content();
    become_follower(term(), from, now);
    leader_contact_at_ = now;
    const auto index = content.last_index();
    if (index > commit())
    {
        if (log_.term_at(index) == content.last_term())
        {
            commit_to(index);
        }
        else
        {
            log_.reset(content);
            state_.set_commit(index);
            applied_index_ = index;
            freshness_.applied(index);
            saved_index_ = index;
            handed_out_index_ = index;
            install_ = content;
        }
    }
    reply_append(from, true, commit(), message.install().round());
}

} // namespace nutmegusher
