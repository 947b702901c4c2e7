// Runs a routed call on the upstream of this host.
#ifndef NUTMEGUSHER_ROUTED_UPSTREAM_RUN_HPP
#define NUTMEGUSHER_ROUTED_UPSTREAM_RUN_HPP

#include "nutmegusher/routed/routed_call.hpp"
#include "nutmegusher/routed/routed_state.hpp"

namespace nutmegusher::routed
{

// How far a call has come at the daemon beside the upstream; valid even if the
// run is interrupted.
struct run_progress
{
    node::request_phase phase = node::request_phase::queued;

    // Whether the upstream may have run the call.
    [[nodiscard]] bool may_have_run() const
    {
        return phase != node::request_phase::queued;
    }
};

// Waits for a slot, sends the call and reads the answer. Fails with `not_run`
// only if the upstream certainly didn't and won't run the call: it was never
// sent, or the upstream says so. An interrupted run releases its slot and
// closes its connection, which cancels the call at the upstream. Requires:
// `call` outlives the answer's `rest`.
asio::awaitable<routed_result> run_on_upstream(
    node::worker& worker,
    routed_state& state,
    const routed_call& call,
    run_progress& progress);

} // namespace nutmegusher::routed

#endif
