// Carries routed calls between daemons.
#ifndef NUTMEGUSHER_ROUTED_PEER_EXCHANGE_HPP
#define NUTMEGUSHER_ROUTED_PEER_EXCHANGE_HPP

#include "nutmegusher/routed/peer_fields.hpp"
#include "nutmegusher/routed/routed_call.hpp"
#include "nutmegusher/routed/routed_state.hpp"

#include <optional>
#include <string>
#include <vector>

namespace nutmegusher::routed
{

// What came back beside the answer or the failure.
struct peer_feedback
{
    // Nothing where no word came.
    std::optional<upstream_load_report> load_report;
    // Nothing but silence came from there until the end.
    bool silent = false;
    // The connection couldn't be made or broke.
    bool broken = false;
};

// What this host's daemon tells with the answer to such a call.
//
// A long transfer hears of its own service alone: it passes on what that
// service holds. Without this the downloads of an archive were turned away for
// a registry that only the archive's index reads need, 43 in 100 of them.
[[nodiscard]] upstream_load_report
own_load_report(const routed_state& state, const call_metadata& metadata);

// Sends the call to the daemon at `to` and reads the answer.
asio::awaitable<routed_result> call_peer(
    node::worker& worker,
    node::endpoint to,
    const routed_call& call,
    cancel_flag cancelled,
    peer_feedback& feedback);

// Whether a stream of a peer carries a routed call.
[[nodiscard]] bool is_routed_call(const wire::request_head& head);

// Serves such a stream with the upstream on this host.
asio::awaitable<void> serve_routed_call(
    node::worker& worker,
    routed_state& state,
    std::shared_ptr<wire::server_stream> stream);

} // namespace nutmegusher::routed

#endif
