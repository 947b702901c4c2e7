// Up to which moment a replica is proved to know all that was committed.
#ifndef NUTMEGUSHER_CONTROL_FRESHNESS_TRACKER_HPP
#define NUTMEGUSHER_CONTROL_FRESHNESS_TRACKER_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/control/replica_log.hpp"

#include <cstddef>
#include <deque>

namespace nutmegusher
{

// A leader that a majority has answered at a moment knows all that was
// committed before it. It tells each follower how long ago that was, the
// commit, and the time that the follower wrote on the last reply that the
// leader had: its message was made after that reply, so the follower can place
// it by its own clock alone, however long it was under way. A follower knows as
// much once it has applied that commit.
//
//     freshness_tracker known;
//     known.add_proof(commit, heard_reply_at - proof_age);
//     known.applied(index);
//     now - known.as_of()                         // its age at most
//
// Neither a connection, nor a leader's name, nor a heartbeat from a leader that
// has lost its majority moves it.
class freshness_tracker
{
public:
    // All that was committed before `as_of` is at or below `commit`.
    void add_proof(log_index commit, time_point as_of);

    void applied(log_index index);

    // The clock's start where nothing was proved yet.
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

    // Proofs of what isn't applied yet; a few seconds of heartbeats.
    static constexpr std::size_t max_waiting = 64;

    // Rising in both fields.
    std::deque<proof> waiting_;
    log_index applied_index_ = 0;
    time_point as_of_{};
};

} // namespace nutmegusher

#endif
