// The leader's side of replication: sends entries and snapshots, advances the
// commit index and confirms reads.
#include "nutmegusher/control/replica.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher
{

namespace
{

// Caps the exponential backoff, so that entries that are lost repeatedly are
// still sent every few seconds.
constexpr unsigned max_doublings = 3;

// The highest value that at least `count` of `values` are at or above.
// Requires: 1 <= count <= values.size().
template <class T>
T value_reached_by(std::vector<T> values, std::size_t count)
{
    const auto position =
        values.begin() + static_cast<std::ptrdiff_t>(count - 1);
    std::nth_element(values.begin(), position, values.end(), std::greater<>());
    return *position;
}

} // namespace

void replica::on_append_reply(
    const messages::replica_message& message, time_point now)
{
    const auto found = peers_.find(replica_id(message.from()));
    if (role_ != replica_role::leader || found == peers_.end())
    {
        return;
    }
    auto& from = found->second;
    const auto& reply = message.appended();
    record_round(from, reply.round());
    record_reply_time(from, reply);
    from.declines_leadership = reply.declines_leadership();
    if (reply.success())
    {
        record_success(from, reply.match_index(), now);
        if (from.match >= log_.base_index())
        {
            from.snapshot_deadline.reset();
        }
        advance_commit();
    }
    else if (!from.snapshot_deadline)
    {
        record_rejection(from, reply.match_index(), now);
    }
    if (role_ == replica_role::leader)
    {
        confirm_reads();
        check_transfer(now);
    }
}

void replica::record_success(peer& from, log_index match, time_point now)
{
    const bool progress = match > from.match;
    if (progress)
    {
        from.match = match;
        from.resends = 0;
    }
    const auto& sent = from.in_flight;
    const bool all_arrived = sent && sent->last <= from.match;
    const bool fits = sent && sent->first <= from.match + 1;
    if (all_arrived || !fits)
    {
        from.in_flight.reset();
    }
    if (progress && from.in_flight)
    {
        drop_acknowledged(*from.in_flight, from.match);
        reset_entry_deadline(from, now);
    }
    const auto last = from.in_flight ? from.in_flight->last : from.match;
    from.next = from.probing ? last + 1 : std::max(from.next, last + 1);
    from.probing = false;
}

// A heartbeat that overtakes the entries before it is rejected, although the
// entries may still arrive. Sending them again on each such rejection repeated
// them at every heartbeat: with 500 KB to four followers on 86 Mbit/s, no
// leader kept its lease.
void replica::record_rejection(peer& from, log_index hint, time_point now)
{
    const auto& sent = from.in_flight;
    if (sent && sent->first <= hint + 1 && now < sent->deadline)
    {
        return;
    }
    if (sent && sent->first <= hint + 1)
    {
        ++from.resends;
    }
    from.in_flight.reset();
    from.next = std::max(from.match, std::min(hint, from.next - 1)) + 1;
    from.probing = true;
    from.probe_sent = false;
}

void replica::record_sent(
    peer& to, const messages::append_request& request, time_point now)
{
    if (request.entries().empty())
    {
        return;
    }
    const auto first = request.entries().begin()->index();
    const in_flight_message added{
        request.entries().rbegin()->index(), request.ByteSizeLong()};
    auto& sent = to.in_flight;
    if (sent && first == sent->last + 1)
    {
        // Keeps the deadline of the first entry. Extending it for each new
        // message, with one every 33 ms, postponed the resend of a lost entry
        // forever.
        sent->last = added.last;
        sent->unacknowledged.push_back(added);
        sent->bytes += added.bytes;
        return;
    }
    sent = in_flight_entries{first, added.last, {added}, added.bytes, now};
    reset_entry_deadline(to, now);
}

void replica::drop_acknowledged(in_flight_entries& sent, log_index match)
{
    while (!sent.unacknowledged.empty() &&
           sent.unacknowledged.front().last <= match)
    {
        sent.bytes -= sent.unacknowledged.front().bytes;
        sent.unacknowledged.pop_front();
    }
}

void replica::reset_entry_deadline(peer& to, time_point now) const
{
    auto& sent = *to.in_flight;
    const auto retry = settings_.timing.entry_retry;
    sent.deadline = now + loss_timeout(sent.bytes, retry, to.resends);
}

// Exponential backoff: doubles after each loss, so that a link that is slower
// than expected isn't sent the same data again and again.
duration
replica::loss_timeout(std::size_t bytes, duration retry, unsigned resends) const
{
    const std::chrono::duration<double> transfer(
        static_cast<double>(bytes) / settings_.limits.bytes_per_second);
    const auto once = retry + std::chrono::duration_cast<duration>(transfer);
    return once * (1U << std::min(resends, max_doublings));
}

void replica::record_round(peer& from, std::uint64_t round)
{
    if (round <= from.acknowledged_round)
    {
        return;
    }
    from.acknowledged_round = round;
    if (round_starts_.empty() || round < round_starts_.front().first ||
        round > round_starts_.back().first)
    {
        return;
    }
    const auto position = round - round_starts_.front().first;
    from.lease_start =
        std::max(from.lease_start, round_starts_[position].second);
}

// A late reply of an earlier run overwrites these fields. The follower then
// ignores the next proof, which is harmless.
void replica::record_reply_time(peer& from, const messages::append_reply& reply)
{
    const bool same_run = from.last_reply_run == reply.run();
    from.last_reply_run = reply.run();
    from.last_reply_us = same_run
                             ? std::max(from.last_reply_us, reply.replied_us())
                             : reply.replied_us();
}

void replica::refresh_peers()
{
    std::map<replica_id, peer> refreshed;
    for (const auto& member : log_.members().members())
    {
        const replica_id id(member.identity());
        if (id == settings_.self)
        {
            continue;
        }
        const auto follower = peers_.find(id);
        if (follower != peers_.end())
        {
            refreshed.emplace(id, follower->second);
            continue;
        }
        peer added;
        added.next = log_.last_index() + 1;
        added.lease_start = last_now_;
        refreshed.emplace(id, added);
    }
    peers_ = std::move(refreshed);
}

void replica::start_round(time_point now)
{
    ++round_;
    const auto kept = now - 2 * settings_.timing.election_timeout;
    while (!round_starts_.empty() && round_starts_.front().second < kept)
    {
        round_starts_.pop_front();
    }
    round_starts_.emplace_back(round_, now);
    next_heartbeat_ = now + settings_.timing.heartbeat;
    for (auto& read : reads_)
    {
        if (!read.round)
        {
            read.round = round_;
        }
    }
    send_to_all(true, now);
    confirm_reads();
}

void replica::send_to_all(bool heartbeat, time_point now)
{
    for (auto& [id, progress] : peers_)
    {
        const bool behind = progress.next <= log_.base_index();
        const bool overdue =
            progress.snapshot_deadline && now >= *progress.snapshot_deadline;
        if ((behind && !progress.snapshot_deadline) || overdue)
        {
            send_snapshot(id, progress, now);
        }
        send_entries(id, progress, heartbeat, now);
    }
}

void replica::send_entries(
    replica_id to, peer& progress, bool heartbeat, time_point now)
{
    if (progress.snapshot_deadline)
    {
        // Heartbeats keep the follower from starting an election while it
        // installs the snapshot.
        if (heartbeat)
        {
            send_append(to, progress, now);
        }
        return;
    }
    if (progress.probing)
    {
        if (heartbeat || !progress.probe_sent)
        {
            send_append(to, progress, now);
            progress.probe_sent = true;
        }
        return;
    }
    while (progress.next <= log_.last_index() && can_send_more(progress))
    {
        send_append(to, progress, now);
        heartbeat = false;
    }
    if (heartbeat)
    {
        send_append(to, progress, now);
    }
}

bool replica::can_send_more(const peer& to) const
{
    const auto bytes = to.in_flight ? to.in_flight->bytes : 0;
    return to.next - to.match <= settings_.limits.entries_in_flight &&
           bytes < settings_.limits.bytes_in_flight;
}

void replica::send_append(replica_id to, peer& progress, time_point now)
{
    auto message = make_message(to);
    auto& request = *message.mutable_append();
    const auto previous = std::max(progress.next - 1, log_.base_index());
    request.set_previous_index(previous);
    request.set_previous_term(log_.term_at(previous).value_or(0));
    request.set_commit(commit());
    request.set_round(round_);
    if (own_term_committed())
    {
        using std::chrono::microseconds;
        const auto age = std::chrono::ceil<microseconds>(
            std::max(now - majority_acknowledged_at(), duration::zero()));
        request.set_heard_run(progress.last_reply_run);
        request.set_heard_reply_us(progress.last_reply_us);
        request.set_proof_age_us(static_cast<std::uint64_t>(age.count()));
    }
    std::size_t bytes = 0;
    const auto& limits = settings_.limits;
    const bool is_waiting = progress.probing && progress.in_flight &&
                            now < progress.in_flight->deadline;
    const bool with_entries = !progress.snapshot_deadline && !is_waiting;
    for (auto index = previous + 1; with_entries && index <= log_.last_index();
         ++index)
    {
        const auto count = static_cast<std::size_t>(request.entries_size());
        const auto& entry = log_.at(index);
        bytes += entry.ByteSizeLong();
        if (count >= limits.entries_per_message ||
            (count > 0 && bytes > limits.bytes_per_message))
        {
            break;
        }
        *request.add_entries() = entry;
    }
    record_sent(progress, request, now);
    if (!progress.probing && !progress.snapshot_deadline)
    {
        progress.next += static_cast<log_index>(request.entries_size());
    }
    early_messages_.push_back(std::move(message));
}

void replica::send_snapshot(replica_id to, peer& progress, time_point now)
{
    auto content = snapshot_source_ ? snapshot_source_() : std::nullopt;
    if (!content || content->last_index() < log_.base_index())
    {
        return;
    }
    auto message = make_message(to);
    message.mutable_install()->set_round(round_);
    *message.mutable_install()->mutable_content() = *std::move(content);
    if (progress.snapshot_deadline)
    {
        ++progress.resends;
    }
    const auto retry = settings_.timing.snapshot_retry;
    progress.snapshot_deadline =
        now + loss_timeout(message.ByteSizeLong(), retry, progress.resends);
    progress.probing = true;
    progress.probe_sent = false;
    early_messages_.push_back(std::move(message));
}

bool replica::own_term_committed() const
{
    return log_.term_at(commit()) == term();
}

void replica::advance_commit()
{
    std::vector<log_index> matches;
    for (const auto id : voters())
    {
        if (id == settings_.self)
        {
            matches.push_back(saved_index_);
            continue;
        }
        const auto follower = peers_.find(id);
        matches.push_back(
            follower == peers_.end() ? 0 : follower->second.match);
    }
    if (matches.empty())
    {
        return;
    }
    const auto agreed = value_reached_by(std::move(matches), quorum());
    if (agreed <= commit() || log_.term_at(agreed) != term())
    {
        return;
    }
    commit_to(agreed);
    confirm_reads();
    if (members_committed() && !is_voter(settings_.self))
    {
        become_follower(term(), std::nullopt, last_now_);
    }
}

void replica::confirm_reads()
{
    if (reads_.empty() || !own_term_committed())
    {
        return;
    }
    std::vector<std::uint64_t> rounds;
    for (const auto id : voters())
    {
        const auto follower = peers_.find(id);
        rounds.push_back(
            follower == peers_.end() ? round_
                                     : follower->second.acknowledged_round);
    }
    const auto agreed = value_reached_by(std::move(rounds), quorum());
    while (!reads_.empty() && reads_.front().round &&
           *reads_.front().round <= agreed)
    {
        confirmed_reads_.push_back({reads_.front().ticket, commit()});
        reads_.pop_front();
    }
}

time_point replica::majority_acknowledged_at() const
{
    std::vector<time_point> starts;
    for (const auto id : voters())
    {
        const auto follower = peers_.find(id);
        starts.push_back(
            id == settings_.self || follower == peers_.end()
                ? last_now_
                : follower->second.lease_start);
    }
    if (starts.empty())
    {
        return min_lease_start_;
    }
    const auto agreed = value_reached_by(std::move(starts), quorum());
    return std::max(agreed, min_lease_start_);
}

time_point replica::lease_end() const
{
    return majority_acknowledged_at() + settings_.timing.election_timeout;
}

bool replica::holds_lease(time_point now) const
{
    return role_ == replica_role::leader && now < lease_end();
}

std::optional<time_point> replica::leadership_confirmed_at() const
{
    if (role_ != replica_role::leader || !own_term_committed())
    {
        return std::nullopt;
    }
    return majority_acknowledged_at();
}

std::vector<follower_progress> replica::progress(time_point now) const
{
    std::vector<follower_progress> all;
    for (const auto& [id, follower] : peers_)
    {
        const bool active =
            now - follower.lease_start < settings_.timing.election_timeout;
        all.push_back(
            {id,
             follower.match,
             active,
             follower.snapshot_deadline.has_value(),
             follower.declines_leadership,
             follower.in_flight ? follower.in_flight->bytes : 0,
             follower.resends});
    }
    return all;
}

void replica::check_transfer(time_point now)
{
    if (!transfer_)
    {
        return;
    }
    if (now >= transfer_->deadline)
    {
        transfer_.reset();
        return;
    }
    const auto target = peers_.find(transfer_->target);
    if (target == peers_.end() || transfer_->request_sent ||
        target->second.match != log_.last_index())
    {
        return;
    }
    auto message = make_message(transfer_->target);
    message.mutable_stand();
    queue(std::move(message));
    transfer_->request_sent = true;
}

} // namespace nutmegusher
