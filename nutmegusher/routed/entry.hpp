// Where a routed request enters: read -> route -> send to an upstream's
// daemon, elsewhere again where that can help -> answer.
#ifndef NUTMEGUSHER_ROUTED_ENTRY_HPP
#define NUTMEGUSHER_ROUTED_ENTRY_HPP

#include "nutmegusher/node/http_server.hpp"
#include "nutmegusher/routed/routed_state.hpp"

namespace nutmegusher::routed
{

// Serves one request of a caller on this host. It ends in the upstream's
// answer, a refusal, or a connection that is closed without a clean end.
asio::awaitable<void> serve_routed_request(
    node::worker& worker, routed_state& state, node::caller_exchange& exchange);

} // namespace nutmegusher::routed

#endif
