// Replication: what a leader sends, counts and confirms.
#include "nutmegusher/control/replica.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher
{

namespace
{

// Entries that are lost again and again are still sent every few seconds.
constexpr unsigned most_doublings = 3;

// The value that at least `count` of `values` reach. Requires: count isn't 0
// and at most the number of values.
template <class T>
T reached_by(std::vector<T> values, std::size_t count)
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
    note_round(from, reply.round());
    note_reply_time(from, reply);
    from.declines_leadership = reply.declines_leadership();
    if (reply.success())
    {
        note_success(from, reply.match_index(), now);
        if (from.match >= log_.base_index())
        {
            from.installing_until.reset();
        }
        advance_commit();
    }
    else if (!from.installing_until)
    {
        note_rejection(from, reply.match_index(), now);
    }
    if (role_ == replica_role::leader)
    {
        confirm_reads();
        check_transfer(now);
    }
}

void replica::note_success(peer& from, log_index match, time_point now)
{
    const bool progress = match > from.match;
    if (progress)
    {
        from.match = match;
        from.resends = 0;
    }
    const auto& sent = from.on_the_way;
    const bool all_arrived = sent && sent->last <= from.match;
    const bool fits = sent && sent->first <= from.match + 1;
    if (all_arrived || !fits)
    {
        from.on_the_way.reset();
    }
    if (progress && from.on_the_way)
    {
        forget_arrived(*from.on_the_way, from.match);
        wait_for_sent(from, now);
    }
    const auto last = from.on_the_way ? from.on_the_way->last : from.match;
    from.next = from.probing ? last + 1 : std::max(from.next, last + 1);
    from.probing = false;
}

// A heartbeat that overtook the entries before it is rejected, and they may
// still come. Taken for lost at once they were sent again at each heartbeat:
// with 500 KB to four followers on 86 Mbit/s no leader kept its lease.
void replica::note_rejection(peer& from, log_index hint, time_point now)
{
    const auto& sent = from.on_the_way;
    if (sent && sent->first <= hint + 1 && now < sent->until)
    {
        return;
    }
    if (sent && sent->first <= hint + 1)
    {
        ++from.resends;
    }
    from.on_the_way.reset();
    from.next = std::max(from.match, std::min(hint, from.next - 1)) + 1;
    from.probing = true;
    from.probe_sent = false;
}

void replica::note_sent(
    peer& to, const messages::append_request& request, time_point now)
{
    if (request.entries().empty())
    {
        return;
    }
    const auto first = request.entries().begin()->index();
    const sent_part part{
        request.entries().rbegin()->index(), request.ByteSizeLong()};
    auto& sent = to.on_the_way;
    if (sent && first == sent->last + 1)
    {
        // The first of them is due when it was: new ones that came each 33 ms
        // put off for good what the loss of an earlier one asked for.
        sent->last = part.last;
        sent->parts.push_back(part);
        sent->bytes += part.bytes;
        return;
    }
    sent = sent_entries{first, part.last, {part}, part.bytes, now};
    wait_for_sent(to, now);
}

void replica::forget_arrived(sent_entries& sent, log_index match)
{
    while (!sent.parts.empty() && sent.parts.front().last <= match)
    {
        sent.bytes -= sent.parts.front().bytes;
        sent.parts.pop_front();
    }
}

void replica::wait_for_sent(peer& to, time_point now) const
{
    auto& sent = *to.on_the_way;
    const auto retry = settings_.timing.entry_retry;
    sent.until = now + wait_for(sent.bytes, retry, to.resends);
}

// Twice as long after each loss, so that a line that is slower than expected
// isn't given everything again and again.
duration
replica::wait_for(std::size_t bytes, duration retry, unsigned resends) const
{
    const std::chrono::duration<double> transfer(
        static_cast<double>(bytes) / settings_.limits.bytes_per_second);
    const auto once = retry + std::chrono::duration_cast<duration>(transfer);
    return once * (1U << std::min(resends, most_doublings));
}

void replica::note_round(peer& from, std::uint64_t round)
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

// A late reply of an earlier run takes a proof from the follower, no more.
void replica::note_reply_time(peer& from, const messages::append_reply& reply)
{
    const bool same_run = from.heard_run == reply.run();
    from.heard_run = reply.run();
    from.heard_reply_us =
        same_run ? std::max(from.heard_reply_us, reply.replied_us())
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
        const auto known = peers_.find(id);
        if (known != peers_.end())
        {
            refreshed.emplace(id, known->second);
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
            progress.installing_until && now >= *progress.installing_until;
        if ((behind && !progress.installing_until) || overdue)
        {
            send_snapshot(id, progress, now);
        }
        send_entries(id, progress, heartbeat, now);
    }
}

void replica::send_entries(
    replica_id to, peer& progress, bool heartbeat, time_point now)
{
    if (progress.installing_until)
    {
        // Keeps the follower from standing while it takes the snapshot in.
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
    while (progress.next <= log_.last_index() && has_room(progress))
    {
        send_append(to, progress, now);
        heartbeat = false;
    }
    if (heartbeat)
    {
        send_append(to, progress, now);
    }
}

bool replica::has_room(const peer& to) const
{
    const auto bytes = to.on_the_way ? to.on_the_way->bytes : 0;
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
            std::max(now - majority_heard_at(), duration::zero()));
        request.set_heard_run(progress.heard_run);
        request.set_heard_reply_us(progress.heard_reply_us);
        request.set_proof_age_us(static_cast<std::uint64_t>(age.count()));
    }
    std::size_t bytes = 0;
    const auto& limits = settings_.limits;
    const bool is_waiting = progress.probing && progress.on_the_way &&
                            now < progress.on_the_way->until;
    const bool with_entries = !progress.installing_until && !is_waiting;
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
    note_sent(progress, request, now);
    if (!progress.probing && !progress.installing_until)
    {
        progress.next += static_cast<log_index>(request.entries_size());
    }
    early_.push_back(std::move(message));
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
    if (progress.installing_until)
    {
        ++progress.resends;
    }
    const auto retry = settings_.timing.snapshot_retry;
    progress.installing_until =
        now + wait_for(message.ByteSizeLong(), retry, progress.resends);
    progress.probing = true;
    progress.probe_sent = false;
    early_.push_back(std::move(message));
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
        const auto known = peers_.find(id);
        matches.push_back(known == peers_.end() ? 0 : known->second.match);
    }
    if (matches.empty())
    {
        return;
    }
    const auto agreed = reached_by(std::move(matches), quorum());
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
        const auto known = peers_.find(id);
        rounds.push_back(
            known == peers_.end() ? round_ : known->second.acknowledged_round);
    }
    const auto agreed = reached_by(std::move(rounds), quorum());
    while (!reads_.empty() && reads_.front().round &&
           *reads_.front().round <= agreed)
    {
        confirmed_.push_back({reads_.front().ticket, commit()});
        reads_.pop_front();
    }
}

time_point replica::majority_heard_at() const
{
    std::vector<time_point> starts;
    for (const auto id : voters())
    {
        const auto known = peers_.find(id);
        starts.push_back(
            id == settings_.self || known == peers_.end()
                ? last_now_
                : known->second.lease_start);
    }
    if (starts.empty())
    {
        return lease_floor_;
    }
    const auto agreed = reached_by(std::move(starts), quorum());
    return std::max(agreed, lease_floor_);
}

time_point replica::lease_end() const
{
    return majority_heard_at() + settings_.timing.election_timeout;
}

bool replica::holds_lease(time_point now) const
{
    return role_ == replica_role::leader && now < lease_end();
}

std::vector<follower_progress> replica::progress(time_point now) const
{
    std::vector<follower_progress> all;
    for (const auto& [id, known] : peers_)
    {
        const bool active =
            now - known.lease_start < settings_.timing.election_timeout;
        all.push_back(
            {id,
             known.match,
             active,
             known.installing_until.has_value(),
             known.declines_leadership,
             known.on_the_way ? known.on_the_way->bytes : 0,
             known.resends});
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
    if (target == peers_.end() || transfer_->told ||
        target->second.match != log_.last_index())
    {
        return;
    }
    auto message = make_message(transfer_->target);
    message.mutable_stand();
    queue(std::move(message));
    transfer_->told = true;
}

} // namespace nutmegusher
