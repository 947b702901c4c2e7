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
    enum class waiting : std::uint8_t
    {
        nothing,
        an_answer,
        a_near_answer
    };

    explicit liveness(const session_options& options)
        : options_(options)
    {
    }

    // Something arrived from the peer.
    void received()
    {
        received_ = true;
        suspect_ = false;
    }

    // A PING sent aside of the ticks has had no answer for so long, which is
    // the limit of silence: the connection is suspect.
    void unanswered(duration time);

    // Time has passed since the tick before.
    [[nodiscard]] action tick(duration elapsed, waiting now);

    // When the next tick is due; also plans it.
    [[nodiscard]] duration plan_tick(waiting now);

    // The planned tick is later than streams that wait so may wait for it.
    [[nodiscard]] bool planned_late(waiting now) const
    {
        return planned_ > interval(now);
    }

    // No new streams.
    [[nodiscard]] bool suspect() const
    {
        return suspect_;
    }

private:
    void start_over();
    [[nodiscard]] duration interval(waiting now) const;
    [[nodiscard]] duration silence(waiting now) const;

    const session_options options_;

    duration planned_ = duration::zero();
    // Without anything received.
    duration quiet_ = duration::zero();
    // Since the PING, without anything received.
    duration unanswered_ = duration::zero();
    bool ping_sent_ = false;
    bool received_ = false;
    bool suspect_ = false;
};

} // namespace nutmegusher::wire::internal

#endif
