// Sends and serves routed calls between daemons.
#ifndef NUTMEGUSHER_ROUTED_PEER_EXCHANGE_HPP
#define NUTMEGUSHER_ROUTED_PEER_EXCHANGE_HPP

#include "nutmegusher/routed/peer_fields.hpp"
#include "nutmegusher/routed/routed_call.hpp"
#include "nutmegusher/routed/routed_state.hpp"
#include "nutmegusher/routed/upstream_run.hpp"

#include <optional>
#include <string>
#include <vector>

namespace nutmegusher::routed
{

// What the sender learns besides the answer or the failure.
struct peer_feedback
{
    // Empty if no load report arrived.
    std::optional<upstream_load_report> load_report;
    // The peer stayed silent until the call ended.
    bool silent = false;
    // The connection couldn't be made, or it broke.
    bool broken = false;
    // As far as the sender can tell; valid even if the call is interrupted.
    run_progress progress;
};

// The load report of this host's upstream for the answer to a routed call.
//
// For a bulk transfer it holds only the shed level of the upstream's own
// service, not the levels of the services that it calls: otherwise 43 in 100
// downloads of an archive were refused for a registry that only the archive's
// index reads need.
[[nodiscard]] upstream_load_report
own_load_report(routed_state& state, const call_metadata& metadata);

// Sends the call to the daemon at `to` and reads the answer. If it is
// interrupted, it cancels the call there.
asio::awaitable<routed_result> call_peer(
    node::worker& worker,
    node::endpoint to,
    const routed_call& call,
    peer_feedback& feedback);

// Whether a peer's stream carries a routed call.
[[nodiscard]] bool is_routed_call(const wire::request_head& head);

// Serves a routed call on a peer's stream with the upstream on this host.
asio::awaitable<void> serve_routed_call(
    node::worker& worker,
    routed_state& state,
    std::shared_ptr<wire::server_stream> stream);

} // namespace nutmegusher::routed

#endif
