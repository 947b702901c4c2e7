// Entry of routed requests: reads a request, selects its route, sends it to the
// daemon of an upstream, retries at another upstream where that can help, and
// forwards the answer.
#ifndef NUTMEGUSHER_ROUTED_ENTRY_HPP
#define NUTMEGUSHER_ROUTED_ENTRY_HPP

#include "nutmegusher/node/http_server.hpp"
#include "nutmegusher/routed/routed_state.hpp"

namespace nutmegusher::routed
{

// Serves one request of a caller on this host. The request ends with the
// upstream's answer, with a refusal, or with a connection that is closed
// without a clean end.
asio::awaitable<void> serve_routed_request(
    node::worker& worker, routed_state& state, node::caller_exchange& exchange);

} // namespace nutmegusher::routed

#endif
