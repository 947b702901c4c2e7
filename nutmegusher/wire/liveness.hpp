// Tells a silent connection from a quiet one.
//
// A connection goes silent for good when something between the two ends has
// lost track of it: nothing arrives any more, no error does either, and new
// connections work. Without a check of one's own every request on it waits
// for its deadline, and the pool hands it out again and again.
//
// The thresholds are those of `session_options`; where a stream waits for an
// answer that is due soon, the short ones hold. A pause of this process (it
// was stopped, or starved) is no silence of the peer: a tick that comes far
// too late isn't counted.
#ifndef NUTMEGUSHER_WIRE_LIVENESS_HPP
#define NUTMEGUSHER_WIRE_LIVENESS_HPP

#include "nutmegusher/wire/session_options.hpp"

namespace nutmegusher::wire::internal
{

class liveness
{
public:
    enum class action : std::uint8_t
    {
        none,
        send_ping,
        // The connection is lost.
        give_up
    };

    // What the open streams wait for.
    enum class awaited_response : std::uint8_t
    {
        none,
        pending,
        due_soon
    };

    explicit liveness(const session_options& options)
        : options_(options)
    {
    }

    // Something arrived from the peer.
    void received()
    {
        received_since_tick_ = true;
        suspect_ = false;
    }

    // A PING sent aside of the ticks has had no answer for so long, which is
    // the limit of silence: the connection is suspect.
    void note_unanswered_ping(duration elapsed);

    // Time has passed since the tick before.
    [[nodiscard]] action tick(duration elapsed, awaited_response awaited);

    // When the next tick is due; also plans it.
    [[nodiscard]] duration schedule_tick(awaited_response awaited);

    // The planned tick is later than streams that wait so may wait for it.
    [[nodiscard]] bool is_tick_too_late(awaited_response awaited) const
    {
        return tick_interval_ > ping_interval_for(awaited);
    }

    // No new streams.
    [[nodiscard]] bool suspect() const
    {
        return suspect_;
    }

private:
    void reset();
    [[nodiscard]] duration ping_interval_for(awaited_response awaited) const;
    [[nodiscard]] duration silence_timeout_for(awaited_response awaited) const;

    const session_options options_;

    duration tick_interval_ = duration::zero();
    // Without anything received.
    duration silent_time_ = duration::zero();
    // Since the PING, without anything received.
    duration unanswered_time_ = duration::zero();
    bool ping_sent_ = false;
    bool received_since_tick_ = false;
    bool suspect_ = false;
};

} // namespace nutmegusher::wire::internal

#endif
