// Distinguishes a silent connection from a quiet one.
//
// A connection goes silent for good when a device between the two ends loses
// its state for it: nothing arrives any more, no error is reported, and new
// connections work. Without a liveness check every request on the connection
// waits for its deadline, and the pool keeps handing the connection out.
//
// The thresholds come from `session_options`; the urgent ones apply while a
// stream waits for an answer that is due soon. A pause of this process
// (stopped, or starved of CPU) isn't counted as silence of the peer: a tick
// that comes far too late is ignored.
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
        // The connection must be closed.
        give_up
    };

    // The most urgent answer that the open streams wait for.
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

    // Records that data arrived from the peer.
    void received()
    {
        received_since_tick_ = true;
        suspect_ = false;
    }

    // Records that a PING sent outside of the ticks has been unanswered for
    // `elapsed`, and marks the connection as suspect. Requires: `elapsed` is
    // the silence timeout that applies.
    void note_unanswered_ping(duration elapsed);

    // Advances the state by the time since the previous tick and returns what
    // the connection must do.
    [[nodiscard]] action tick(duration elapsed, awaited_response awaited);

    // Computes and stores the time until the next tick.
    [[nodiscard]] duration schedule_tick(awaited_response awaited);

    // Returns true if the scheduled tick comes later than streams that wait for
    // `awaited` allow.
    [[nodiscard]] bool is_tick_too_late(awaited_response awaited) const
    {
        return tick_interval_ > ping_interval_for(awaited);
    }

    // A suspect connection gets no new streams.
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
    // Time without received data, before a PING is sent.
    duration silent_time_ = duration::zero();
    // Time since the PING without received data.
    duration unanswered_time_ = duration::zero();
    bool ping_sent_ = false;
    bool received_since_tick_ = false;
    bool suspect_ = false;
};

} // namespace nutmegusher::wire::internal

#endif
