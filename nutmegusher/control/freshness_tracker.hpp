// Tracks up to which time a replica is proved to know all committed entries.
#ifndef NUTMEGUSHER_CONTROL_FRESHNESS_TRACKER_HPP
#define NUTMEGUSHER_CONTROL_FRESHNESS_TRACKER_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/control/replica_log.hpp"

#include <cstddef>
#include <deque>

namespace nutmegusher
{

// A leader whose heartbeat round a majority has acknowledged knows all entries
// that were committed before it sent that round. With each append it sends
// every follower its commit index, the age of this proof, and the time stamp
// from the last reply that it received from the follower. The append was made
// after that reply, so the follower can place the proof on its own clock alone,
// however long the message was in flight. The proof holds for the follower once
// it has applied that commit index.
//
//     freshness_tracker tracker;
//     tracker.add_proof(commit, last_reply_at - proof_age);
//     tracker.applied(index);
//     now - tracker.as_of()                         // its age at most
//
// An open connection, a known leader, or a heartbeat from a leader that has
// lost its majority doesn't advance `as_of`.
class freshness_tracker
{
public:
    // Records that every entry committed before `as_of` is at or below
    // `commit`.
    void add_proof(log_index commit, time_point as_of);

    void applied(log_index index);

    // The clock's start if nothing was proved yet.
    [[nodiscard]] time_point as_of() const
    {
        return as_of_;
    }

private:
    struct proof
    {
        log_index commit = 0;
        time_point as_of;
    };

    // Limit on proofs whose commit isn't applied yet: a few seconds of
    // heartbeats.
    static constexpr std::size_t max_waiting = 64;

    // Increasing in both fields.
    std::deque<proof> waiting_;
    log_index applied_index_ = 0;
    time_point as_of_{};
};

} // namespace nutmegusher

#endif
