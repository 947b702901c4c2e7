// Runs a routed call on the upstream of this host.
#ifndef NUTMEGUSHER_ROUTED_UPSTREAM_SIDE_HPP
#define NUTMEGUSHER_ROUTED_UPSTREAM_SIDE_HPP

#include "nutmegusher/routed/routed_call.hpp"
#include "nutmegusher/routed/routed_state.hpp"

namespace nutmegusher::routed
{

// Waits for a slot, sends the call, reads the answer. Fails with `not_run`
// only where the upstream certainly didn't run it and won't: it was never
// sent, or the upstream says so. A call whose caller has gone is taken back
// from the upstream at once.
asio::awaitable<routed_result> run_on_upstream(
    node::worker& worker,
    routed_state& state,
    const routed_call& call,
    cancel_flag cancelled);

} // namespace nutmegusher::routed

#endif
