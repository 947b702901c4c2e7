// The times of a graceful shutdown that follow from the settings.
#ifndef NUTMEGUSHER_NODE_STOP_PLAN_HPP
#define NUTMEGUSHER_NODE_STOP_PLAN_HPP

#include "nutmegusher/node/settings.hpp"
#include "nutmegusher/node/stop_sequence.hpp"

namespace nutmegusher::node
{

struct stop_plan
{
    stop_times times;
    // From this time since the start of the shutdown on, requests are bounded
    // by their time limit: see `drain_window`.
    duration bounded_after{0};
};

// `sub_calls_use_callers_listener`: the upstream on this host sends its
// sub-calls to the callers' listener.
[[nodiscard]] stop_plan make_stop_plan(
    const shutdown_settings& from, bool sub_calls_use_callers_listener);

} // namespace nutmegusher::node

#endif
