// Tells a silent connection from a quiet one.
//
// A connection goes silent for good when something between the two ends has
// lost track of it: nothing arrives any more, no error does either, and new
// connections work. Without a check of one's own every request on it waits
// for its deadline, and the pool hands it out again and again.
//
// The thresholds are those of `session_options`. A pause of this process (it
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

    explicit liveness(const session_options& options)
        : ping_interval_(options.ping_interval)
        , idle_ping_interval_(options.idle_ping_interval)
        , silence_limit_(options.silence_limit)
        , give_up_limit_(options.give_up_limit)
    {
    }

    // Something arrived from the peer.
    void received()
    {
        received_ = true;
        suspect_ = false;
    }

    // Time has passed since the tick before. `busy`: a stream is open.
    [[nodiscard]] action tick(duration elapsed, bool busy);

    // When the next tick is due; also plans it.
    [[nodiscard]] duration plan_tick(bool busy);

    // The planned tick is later than an open stream may wait for it.
    [[nodiscard]] bool planned_for_idle() const
    {
        return planned_ > ping_interval_;
    }

    // No new streams.
    [[nodiscard]] bool suspect() const
    {
        return suspect_;
    }

private:
    void start_over();

    duration ping_interval_;
    duration idle_ping_interval_;
    duration silence_limit_;
    duration give_up_limit_;

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
