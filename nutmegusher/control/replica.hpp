// One replica of a replicated log: elections, replication, membership.
//
// The algorithm is Raft with pre-vote, check-quorum, reads confirmed by a
// heartbeat round, snapshots, leadership transfer, learners and membership
// changes of one voter at a time. The class is a pure state machine: it takes
// (event, time) and collects what is to be done in a `replica_ready`. It opens
// no file and no connection, starts no thread and reads no clock.
//
//     auto node = replica::create(settings, recovered, engine, now);
//     node->tick(now);
//     node->step(message, now);
//     while (auto ready = node->take_ready(now))
//     {
//         send(ready->early_messages);
//         persist_and_sync(*ready); // on failure: destroy the replica
//         node->saved();
//         send(ready->messages);
//         apply(ready->committed);
//     }
//
// `replicated_group` runs this loop over a storage and a state machine.
#ifndef NUTMEGUSHER_CONTROL_REPLICA_HPP
#define NUTMEGUSHER_CONTROL_REPLICA_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/control/freshness_tracker.hpp"
#include "nutmegusher/control/replica_log.hpp"
#include "nutmegusher/messages/replication.pb.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegusher
{

// One data folder of one host, for ever: an emptied folder is another one.
using replica_id = number<struct replica_id_tag>;

// Names a read until it is confirmed; unique within one run of the replica.
using read_ticket = number<struct read_ticket_tag>;

// How long things take. All are far above the round trip between data centres.
struct replica_timing
{
    // Between two heartbeat rounds of a leader.
    duration heartbeat = std::chrono::milliseconds(50);
    // A follower stands after this much silence, up to twice as much; a leader
    // steps down when a majority has been silent for this long.
    duration election_timeout = std::chrono::milliseconds(400);
    // Until it has heard of a leader since its start, a host asks after this
    // whether it may stand, up to twice as much: nothing is lost by asking, and
    // hosts that start together aren't all there in the same moment. With the
    // timeout above service came back 0.4 s later after a loss of all power.
    duration start_timeout = std::chrono::milliseconds(100);
    // Before a snapshot that wasn't answered is sent again, beside the time
    // that its bytes take.
    duration snapshot_retry = std::chrono::seconds(2);
    // Before entries that weren't answered are sent again, beside the time that
    // their bytes take: a heartbeat overtakes them, and its rejection says
    // nothing of their loss. Twice the heartbeat.
    duration entry_retry = std::chrono::milliseconds(100);
};

// Bounds of one message and of what may be unanswered.
struct replica_limits
{
    std::size_t entries_per_message = 512;
    std::size_t bytes_per_message = 256 * 1024;
    // Sent to one follower and not yet answered. More is sent while fewer bytes
    // are under way, so a single large entry passes. Without the bound on bytes
    // a follower that lacked many large entries got them all at once: more
    // than its line carries before they count as lost, again and again.
    std::uint64_t entries_in_flight = 4096;
    std::size_t bytes_in_flight = 512 * 1024;
    // What one follower receives and syncs at least: a tenth of a line of 86
    // Mbit/s, on which four followers and a data centre's daemons are served.
    double bytes_per_second = 1'000'000;
    // In the leader's log and not yet committed; more are refused.
    std::uint64_t uncommitted_entries = 16384;
};

struct replica_settings
{
    // Which log: 0 is the configuration, 1 and up are claims.
    std::uint32_t group = 0;
    replica_id self;
    replica_timing timing;
    replica_limits limits;
};

// What storage gave back at the start.
struct recovered_log
{
    messages::hard_state state;
    messages::snapshot base;
    std::vector<messages::log_entry> entries;
};

enum class replica_role : std::uint8_t
{
    follower,
    pre_candidate,
    candidate,
    leader
};

// Why a request to a replica was refused; nothing has happened then.
enum class replica_refusal : std::uint8_t
{
    not_leader,
    busy,                 // too much uncommitted, or a transfer is under way
    membership_pending,   // the previous membership change isn't committed
    too_many_changes,     // more than one voter differs
    not_caught_up,        // the learner lacks committed entries
    unknown_member,       // no such voter, or none would be left
    already_transferring, // to another voter
    declined              // the voter is about to stop
};

struct replica_failure
{
    replica_refusal refusal;
};

// Where a proposal stands in the log. It is accepted when the entry committed
// at `index` has this `term`; an entry of another term there means that the
// proposal is lost.
struct proposal_position
{
    log_index index = 0;
    log_term term = 0;
};

// A read that may be answered from state that has applied `index`.
struct confirmed_read
{
    read_ticket ticket;
    log_index index = 0;
};

// Who leads, as far as this replica knows.
struct leadership
{
    log_term term = 0;
    std::optional<replica_id> leader;

    friend bool operator==(const leadership&, const leadership&) = default;
};

// What the driver must do, in this order.
struct replica_ready
{
    // May leave before the sync: a leader's entries.
    std::vector<messages::replica_message> early_messages;
    // Persist and sync: a received snapshot (it replaces the whole log), the
    // hard state, entries (they replace what stands at their indexes).
    std::optional<messages::snapshot> install;
    std::optional<messages::hard_state> state;
    std::vector<messages::log_entry> entries;
    // True: without a sync the messages below would lie.
    bool must_sync = false;
    // Leave only after the sync.
    std::vector<messages::replica_message> messages;
    // Apply in order; after `install` was restored.
    std::vector<messages::log_entry> committed;
    // Answer after `committed` was applied.
    std::vector<confirmed_read> reads;
    // Never confirmed: leadership was lost.
    std::vector<read_ticket> failed_reads;
    // Present where it changed.
    std::optional<leadership> changed_leadership;
};

// How far a follower is, for the state dump and the repair command.
struct follower_progress
{
    replica_id id;
    log_index match = 0;
    bool recently_active = false;
    bool installing = false;
    // About to stop; it refuses leadership.
    bool declines_leadership = false;
    // Sent, and neither answered nor taken for lost.
    std::size_t unanswered_bytes = 0;
    // Times that entries were taken for lost since the last progress.
    unsigned resends = 0;
};

class replica
{
public:
    // The engine is used through the replica's life. Fails with
    // `replica_failure` where `settings.self` is 0.
    [[nodiscard]] static leaf::result<replica> create(
        const replica_settings& settings,
        recovered_log recovered,
        random_engine& engine,
        time_point now);

    // Call at least every quarter of a heartbeat.
    void tick(time_point now);

    // A message of another member. What isn't for this replica is dropped.
    void step(const messages::replica_message& message, time_point now);

    // Appends an entry; its index and term are filled in.
    [[nodiscard]] leaf::result<proposal_position>
    propose(messages::log_entry payload, time_point now);

    // Changes the members; one voter may differ, and a learner is promoted
    // only when it holds all that is committed.
    [[nodiscard]] leaf::result<proposal_position>
    propose_members(messages::replica_set members, time_point now);

    // A linearizable read: confirmed later in a `replica_ready`, or failed.
    [[nodiscard]] leaf::result<read_ticket> read(time_point now);

    // Planned: brings `to` up to date and has it stand. Gives up after an
    // election timeout, and proposals are refused until then.
    [[nodiscard]] leaf::result<void>
    transfer_leadership(replica_id to, time_point now);

    // For a planned stop: from now on leadership can't be passed here. It may
    // still win an ordinary election, where no one else can.
    void decline_leadership();

    // Nothing where there is nothing to do.
    [[nodiscard]] std::optional<replica_ready> take_ready(time_point now);

    // All of the last `take_ready` is durable. Nothing else may be called in
    // between. Where saving failed, destroy the replica instead.
    void saved();

    // Forgets entries up to `index`. Requires: a snapshot of the state machine
    // that covers them is durable, and the snapshot source gives it.
    void compact(log_index index);

    // Gives the latest durable snapshot, for a follower that is too far back.
    using snapshot_source = std::function<std::optional<messages::snapshot>()>;
    void set_snapshot_source(snapshot_source source);

    [[nodiscard]] replica_id id() const
    {
        return settings_.self;
    }

    [[nodiscard]] std::uint32_t group() const
    {
        return settings_.group;
    }

    [[nodiscard]] replica_role role() const
    {
        return role_;
    }

    [[nodiscard]] log_term term() const
    {
        return state_.term();
    }

    [[nodiscard]] log_index commit() const
    {
        return state_.commit();
    }

    // The highest commit that a leader has told or that is known here: above
    // `commit` while entries are missing here.
    [[nodiscard]] log_index leader_commit() const
    {
        return std::max(leader_commit_, commit());
    }

    // What was handed out as committed holds all that a majority had accepted
    // at this moment of the own clock; the clock's start: nothing was proved.
    [[nodiscard]] time_point known_current_at() const
    {
        return freshness_.as_of();
    }

    // Term, vote and commit, as they must be durable.
    [[nodiscard]] const messages::hard_state& hard_state() const
    {
        return state_;
    }

    [[nodiscard]] std::optional<replica_id> leader() const
    {
        return leader_;
    }

    [[nodiscard]] const replica_log& log() const
    {
        return log_;
    }

    // Members as of the last entry of the log.
    [[nodiscard]] const messages::replica_set& members() const
    {
        return log_.members();
    }

    // True where the latest membership is committed.
    [[nodiscard]] bool members_committed() const
    {
        return log_.members_index() <= commit();
    }

    // A leader's view of the others; empty on followers.
    [[nodiscard]] std::vector<follower_progress> progress(time_point now) const;

    // True while this replica leads and a majority has answered within an
    // election timeout, counted from the sending.
    [[nodiscard]] bool holds_lease(time_point now) const;

private:
    // One message with entries.
    struct in_flight_message
    {
        log_index last = 0;
        std::size_t bytes = 0;
    };

    // Entries that were sent and may still arrive.
    struct in_flight_entries
    {
        log_index first = 0;
        log_index last = 0;
        std::deque<in_flight_message> unacknowledged;
        // Of all parts.
        std::size_t bytes = 0;
        time_point deadline;
    };

    // What a leader knows of one other member.
    struct peer
    {
        log_index match = 0;
        log_index next = 1;
        // True: one append at a time, until the point of agreement is found.
        bool probing = true;
        bool probe_sent = false;
        bool declines_leadership = false;
        std::optional<in_flight_entries> in_flight;
        // Times that entries were taken for lost since the last progress.
        unsigned resends = 0;
        // When a snapshot that was sent is taken for lost.
        std::optional<time_point> snapshot_deadline;
        std::uint64_t acknowledged_round = 0;
        // What the follower wrote on its latest reply.
        std::uint64_t last_reply_run = 0;
        std::uint64_t last_reply_us = 0;
        // When the acknowledged round was sent.
        time_point lease_start{};
    };

    struct pending_read
    {
        read_ticket ticket;
        // Unset until a round has been started for it.
        std::optional<std::uint64_t> round;
    };

    struct transfer
    {
        replica_id target;
        time_point deadline;
        bool request_sent = false;
    };

    replica(
        const replica_settings& settings,
        recovered_log recovered,
        random_engine& engine,
        time_point now);

    // replica.cpp
    void become_follower(
        log_term term, std::optional<replica_id> leader, time_point now);
    void set_term(log_term term);
    void lose_leadership();
    void reset_election_deadline(time_point now);
    void set_election_deadline(duration timeout, time_point now);
    messages::replica_message make_message(replica_id to) const;
    void queue(messages::replica_message message);
    void commit_to(log_index index);
    bool accepts_term(const messages::replica_message& message, time_point now);
    void dispatch(const messages::replica_message& message, time_point now);
    void collect_storage(replica_ready& ready);
    void collect_commits(replica_ready& ready);
    void collect_leadership(replica_ready& ready);

    // replica_election.cpp
    [[nodiscard]] bool is_voter(replica_id id) const;
    [[nodiscard]] std::vector<replica_id> voters() const;
    [[nodiscard]] std::size_t quorum() const;
    void start_pre_vote(time_point now);
    void start_election(bool transferred, time_point now);
    void request_votes(bool pre_vote, bool transferred);
    void become_leader(time_point now);
    void
    on_vote_request(const messages::replica_message& message, time_point now);
    void
    on_vote_reply(const messages::replica_message& message, time_point now);
    void count_votes(time_point now);
    void on_timeout_now(time_point now);
    [[nodiscard]] bool has_live_leader(time_point now) const;
    [[nodiscard]] bool is_up_to_date(const messages::vote_request& vote) const;

    // replica_follower.cpp
    void on_append(const messages::replica_message& message, time_point now);
    void record_proof(const messages::append_request& request, time_point now);
    // False: the request contradicts what is committed.
    bool accept_entries(const messages::append_request& request);
    void reply_append(
        replica_id to, bool success, log_index match, std::uint64_t round);
    void on_install(const messages::replica_message& message, time_point now);

    // replica_leader.cpp
    void
    on_append_reply(const messages::replica_message& message, time_point now);
    void record_round(peer& from, std::uint64_t round);
    static void
    record_reply_time(peer& from, const messages::append_reply& reply);
    void record_success(peer& from, log_index match, time_point now);
    static void record_rejection(peer& from, log_index hint, time_point now);
    void record_sent(
        peer& to, const messages::append_request& request, time_point now);
    // Drops the parts that the follower holds.
    static void drop_acknowledged(in_flight_entries& sent, log_index match);
    void reset_entry_deadline(peer& to, time_point now) const;
    // Until what was sent counts as lost.
    [[nodiscard]] duration
    loss_timeout(std::size_t bytes, duration retry, unsigned resends) const;
    [[nodiscard]] bool can_send_more(const peer& to) const;
    void refresh_peers();
    void start_round(time_point now);
    void send_to_all(bool heartbeat, time_point now);
    void
    send_entries(replica_id to, peer& progress, bool heartbeat, time_point now);
    void send_append(replica_id to, peer& progress, time_point now);
    void send_snapshot(replica_id to, peer& progress, time_point now);
    void advance_commit();
    void confirm_reads();
    void check_transfer(time_point now);
    // A majority has answered a round that was sent then.
    [[nodiscard]] time_point majority_acknowledged_at() const;
    [[nodiscard]] time_point lease_end() const;
    [[nodiscard]] bool own_term_committed() const;
    [[nodiscard]] std::optional<replica_refusal>
    check_members(const messages::replica_set& members) const;
    proposal_position append_to_log(messages::log_entry entry);

    replica_settings settings_;
    random_engine* engine_;
    // Tells its replies from those of an earlier run.
    std::uint64_t run_id_ = 0;
    snapshot_source snapshot_source_;

    messages::hard_state state_;
    replica_log log_;
    replica_role role_ = replica_role::follower;
    std::optional<replica_id> leader_;
    std::optional<time_point> leader_contact_at_;
    log_index leader_commit_ = 0;
    freshness_tracker freshness_;
    time_point election_deadline_;

    // Candidates.
    std::set<replica_id> votes_;
    std::set<replica_id> refusals_;
    bool declines_leadership_ = false;

    // Leaders.
    std::map<replica_id, peer> peers_;
    std::uint64_t round_ = 0;
    std::deque<std::pair<std::uint64_t, time_point>> round_starts_;
    time_point next_heartbeat_;
    time_point lease_floor_;
    std::deque<pending_read> reads_;
    std::uint64_t next_ticket_ = 1;
    std::optional<transfer> transfer_;

    // Storage.
    messages::hard_state saved_state_;
    log_index saved_index_ = 0;
    log_index handed_out_index_ = 0;
    bool vote_unsaved_ = false;
    std::optional<messages::snapshot> install_;

    // Output.
    log_index applied_index_ = 0;
    leadership reported_;
    std::vector<messages::replica_message> early_messages_;
    std::vector<messages::replica_message> queued_messages_;
    std::vector<confirmed_read> confirmed_reads_;
    std::vector<read_ticket> failed_reads_;
    time_point last_now_;
};

} // namespace nutmegusher

#endif
