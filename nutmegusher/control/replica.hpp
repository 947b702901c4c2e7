// One replica of a replicated log: elections, replication, membership.
//
// The algorithm is Raft with pre-vote, check-quorum, reads confirmed by a
// heartbeat round, snapshots, leadership transfer, learners and membership
// changes of one voter at a time. The class is a pure state machine: each call
// takes an event and the current time, and the resulting work is collected in a
// `replica_ready`. It opens no file and no connection, starts no thread and
// reads no clock.
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

// Identifies one data folder of one host. A folder that was emptied gets a new
// id.
using replica_id = number<struct replica_id_tag>;

// Identifies a pending read; unique within one run of the replica.
using read_ticket = number<struct read_ticket_tag>;

// Timing parameters. All are far above the round trip between data centres.
struct replica_timing
{
    // Interval between two heartbeat rounds of a leader.
    duration heartbeat = std::chrono::milliseconds(50);
    // A follower starts an election after one to two times this long without
    // contact from a leader (chosen at random). A leader steps down once it has
    // had no contact with a majority for this long.
    duration election_timeout = std::chrono::milliseconds(400);
    // A host that has had no contact with a leader since its start begins a
    // pre-vote after one to two times this long. A pre-vote changes no state at
    // the others, so it is safe to start early, and hosts that start together
    // don't become reachable at the same moment. With `election_timeout`
    // instead, service resumed 0.4 s later after a total power loss.
    duration start_timeout = std::chrono::milliseconds(100);
    // Wait before an unacknowledged snapshot is sent again, in addition to its
    // transfer time.
    duration snapshot_retry = std::chrono::seconds(2);
    // Wait before unacknowledged entries are sent again, in addition to their
    // transfer time. A heartbeat can overtake entries, so its rejection doesn't
    // show that they were lost. Twice the heartbeat interval.
    duration entry_retry = std::chrono::milliseconds(100);
};

// Limits on the size of one message and on unacknowledged data.
struct replica_limits
{
    std::size_t entries_per_message = 512;
    std::size_t bytes_per_message = 256 * 1024;
    // Limits on what one follower has not yet acknowledged. A message may be
    // sent while fewer bytes are in flight, so a single large entry always
    // passes. Without the limit on bytes, a follower that lacked many large
    // entries was sent all of them at once: more than its link carries before
    // the retry timeout, so they were sent again and again.
    std::uint64_t entries_in_flight = 4096;
    std::size_t bytes_in_flight = 512 * 1024;
    // Minimum rate at which one follower is assumed to receive and sync. A
    // tenth of a link of 86 Mbit/s that also serves four followers and a data
    // centre's daemons.
    double bytes_per_second = 1'000'000;
    // Limit on uncommitted entries in the leader's log; further proposals are
    // refused.
    std::uint64_t uncommitted_entries = 16384;
};

struct replica_settings
{
    // Number of the Raft group: 0 holds the configuration, 1 and up hold
    // claims.
    std::uint32_t group = 0;
    replica_id self;
    replica_timing timing;
    replica_limits limits;
};

// The state that storage recovered at startup.
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

// Why a request to a replica was refused. A refused request has no effect.
enum class replica_refusal : std::uint8_t
{
    not_leader,
    busy,                 // too many uncommitted entries, or a transfer runs
    membership_pending,   // the previous membership change isn't committed
    too_many_changes,     // more than one voter differs
    not_caught_up,        // the learner lacks committed entries
    unknown_member,       // no such voter, or no voter would remain
    already_transferring, // a transfer to another voter is running
    declined              // the target voter is about to stop
};

struct replica_failure
{
    replica_refusal refusal;
};

// Position of a proposal in the log. The proposal is accepted if the entry
// committed at `index` has this `term`. If it has another term, the proposal is
// lost.
struct proposal_position
{
    log_index index = 0;
    log_term term = 0;
};

// A read that may be answered from any state that has applied `index`.
struct confirmed_read
{
    read_ticket ticket;
    log_index index = 0;
};

// The current term and its leader, as far as this replica knows.
struct leadership
{
    log_term term = 0;
    std::optional<replica_id> leader;

    friend bool operator==(const leadership&, const leadership&) = default;
};

// The work for the driver, in this order.
struct replica_ready
{
    // Messages that may be sent before the sync: a leader's appends and
    // snapshots.
    std::vector<messages::replica_message> early_messages;
    // To persist and sync: a received snapshot (it replaces the whole log), the
    // hard state, and entries (they replace the stored log from their first
    // index on).
    std::optional<messages::snapshot> install;
    std::optional<messages::hard_state> state;
    std::vector<messages::log_entry> entries;
    // If true, `messages` must not be sent before the sync: they promise that
    // the data above is durable.
    bool must_sync = false;
    // Messages to send only after the sync.
    std::vector<messages::replica_message> messages;
    // Entries to apply in order, after `install` has been restored.
    std::vector<messages::log_entry> committed;
    // Reads to answer after `committed` has been applied.
    std::vector<confirmed_read> reads;
    // Reads that failed because leadership was lost.
    std::vector<read_ticket> failed_reads;
    // Set if the leader or the term changed.
    std::optional<leadership> changed_leadership;
};

// Replication progress of one follower, for the state dump and the repair
// command.
struct follower_progress
{
    replica_id id;
    log_index match = 0;
    bool recently_active = false;
    bool installing = false;
    // True if the follower is about to stop and refuses leadership.
    bool declines_leadership = false;
    // Bytes sent, not yet acknowledged and not considered lost.
    std::size_t unanswered_bytes = 0;
    // Retransmissions since the follower last made progress.
    unsigned resends = 0;
};

class replica
{
public:
    // Requires: `engine` outlives the replica. Fails with `replica_failure` if
    // `settings.self` is 0.
    [[nodiscard]] static leaf::result<replica> create(
        const replica_settings& settings,
        recovered_log recovered,
        random_engine& engine,
        time_point now);

    // Advances timers. Call at least every quarter of a heartbeat.
    void tick(time_point now);

    // Processes a message from another member. Messages for another group or
    // replica are dropped.
    void step(const messages::replica_message& message, time_point now);

    // Appends an entry to the leader's log; its index and term are filled in.
    [[nodiscard]] leaf::result<proposal_position>
    propose(messages::log_entry payload, time_point now);

    // Proposes new members. At most one voter may differ, and a learner is
    // promoted only if it holds all committed entries.
    [[nodiscard]] leaf::result<proposal_position>
    propose_members(messages::replica_set members, time_point now);

    // Starts a linearizable read, which a later `replica_ready` reports as
    // confirmed or failed.
    [[nodiscard]] leaf::result<read_ticket> read(time_point now);

    // Transfers leadership to `to`: brings it up to date and asks it to start
    // an election. Gives up after an election timeout; proposals are refused
    // until then.
    [[nodiscard]] leaf::result<void>
    transfer_leadership(replica_id to, time_point now);

    // For a planned stop: from now on leadership can't be transferred to this
    // replica. It may still win an ordinary election if no other voter can.
    void decline_leadership();

    // Returns the pending work; no value if there is none.
    [[nodiscard]] std::optional<replica_ready> take_ready(time_point now);

    // Reports that everything from the last `take_ready` is durable. Call it
    // before any other function. If saving failed, destroy the replica instead.
    void saved();

    // Drops entries up to `index` from the log. Requires: a durable snapshot of
    // the state machine covers them, and the snapshot source returns it.
    void compact(log_index index);

    // Returns the latest durable snapshot, for a follower whose next entry is
    // no longer in the log.
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

    // The highest commit index that a leader has reported or that is known
    // here. Above `commit` while entries are missing here.
    [[nodiscard]] log_index leader_commit() const
    {
        return std::max(leader_commit_, commit());
    }

    // All entries that a majority had accepted by this time (of the local
    // clock) have been handed out as committed. The clock's start if nothing
    // was proved yet.
    [[nodiscard]] time_point known_current_at() const
    {
        return freshness_.as_of();
    }

    // Term, vote and commit index that must be made durable.
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

    // The members as of the last entry of the log, committed or not.
    [[nodiscard]] const messages::replica_set& members() const
    {
        return log_.members();
    }

    // True if the latest membership is committed.
    [[nodiscard]] bool members_committed() const
    {
        return log_.members_index() <= commit();
    }

    // A leader's view of the other members; empty on followers.
    [[nodiscard]] std::vector<follower_progress> progress(time_point now) const;

    // True while this replica leads and a majority has acknowledged a heartbeat
    // round that was sent less than an election timeout ago.
    [[nodiscard]] bool holds_lease(time_point now) const;

    // While this replica leads and has committed an entry of its term: a time
    // at which no later term had a leader yet, as a majority acknowledged a
    // heartbeat round that was sent then.
    [[nodiscard]] std::optional<time_point> leadership_confirmed_at() const;

private:
    // One message with entries that isn't acknowledged yet.
    struct in_flight_message
    {
        log_index last = 0;
        std::size_t bytes = 0;
    };

    // Entries that were sent and may still arrive. Considered lost at
    // `deadline`.
    struct in_flight_entries
    {
        log_index first = 0;
        log_index last = 0;
        std::deque<in_flight_message> unacknowledged;
        // Sum over all messages in `unacknowledged`.
        std::size_t bytes = 0;
        time_point deadline;
    };

    // A leader's state for one other member.
    struct peer
    {
        log_index match = 0;
        log_index next = 1;
        // If true, sends one append at a time until the last matching entry is
        // found.
        bool probing = true;
        bool probe_sent = false;
        bool declines_leadership = false;
        std::optional<in_flight_entries> in_flight;
        // Retransmissions since the follower last made progress.
        unsigned resends = 0;
        // When the snapshot in flight is considered lost. Unset: none is in
        // flight.
        std::optional<time_point> snapshot_deadline;
        std::uint64_t acknowledged_round = 0;
        // Run id and time from the follower's latest reply.
        std::uint64_t last_reply_run = 0;
        std::uint64_t last_reply_us = 0;
        // When the latest acknowledged round was sent.
        time_point lease_start{};
    };

    struct pending_read
    {
        read_ticket ticket;
        // The heartbeat round that confirms it; unset until that round has
        // started.
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
    // Returns false if the request contradicts committed entries.
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
    // Drops the messages whose entries the follower holds.
    static void drop_acknowledged(in_flight_entries& sent, log_index match);
    void reset_entry_deadline(peer& to, time_point now) const;
    // Time until `bytes` that were sent are considered lost.
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
    // The send time of the latest heartbeat round that a majority has
    // acknowledged.
    [[nodiscard]] time_point majority_acknowledged_at() const;
    [[nodiscard]] time_point lease_end() const;
    [[nodiscard]] bool own_term_committed() const;
    [[nodiscard]] std::optional<replica_refusal>
    check_members(const messages::replica_set& members) const;
    proposal_position append_to_log(messages::log_entry entry);

    replica_settings settings_;
    random_engine* engine_;
    // Random; distinguishes this run's replies from those of an earlier run.
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
    std::set<replica_id> rejections_;
    bool declines_leadership_ = false;

    // Leaders.
    std::map<replica_id, peer> peers_;
    std::uint64_t round_ = 0;
    std::deque<std::pair<std::uint64_t, time_point>> round_starts_;
    time_point next_heartbeat_;
    time_point min_lease_start_;
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
