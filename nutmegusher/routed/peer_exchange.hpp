// Carries routed calls between daemons.
#ifndef NUTMEGUSHER_ROUTED_PEER_EXCHANGE_HPP
#define NUTMEGUSHER_ROUTED_PEER_EXCHANGE_HPP

#include "nutmegusher/routed/routed_call.hpp"
#include "nutmegusher/routed/routed_state.hpp"

#include <string>

namespace nutmegusher::routed
{

// What came back beside the answer or the failure.
struct peer_feedback
{
    // What the upstream's daemon had rather sent elsewhere, if it said so.
    std::optional<answer_levels> levels;
    // Nothing but silence came from there until the end.
    bool silent = false;
    // The connection couldn't be made or broke.
    bool broken = false;
};

// Sends the call to the daemon at `to` and reads the answer.
asio::awaitable<routed_result> call_peer(
    node::worker& here,
    node::endpoint to,
    const routed_call& call,
    cancel_flag cancelled,
    peer_feedback& feedback);

// Whether a stream of a peer carries a routed call.
[[nodiscard]] bool is_routed_call(const wire::request_head& head);

// Serves such a stream with the upstream on this host.
asio::awaitable<void> serve_routed_call(
    node::worker& here,
    routed_state& state,
    std::shared_ptr<wire::server_stream> stream);

} // namespace nutmegusher::routed

#endif
