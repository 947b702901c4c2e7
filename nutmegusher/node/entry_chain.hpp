// What happens to a request where it enters: at the daemon that a member or a
// clerk has connected to, or at the one beside the upstream that makes a
// sub-call. classify -> join the request -> body -> gate -> forward.
#ifndef NUTMEGUSHER_NODE_ENTRY_CHAIN_HPP
#define NUTMEGUSHER_NODE_ENTRY_CHAIN_HPP

#include "nutmegusher/node/http_server.hpp"
#include "nutmegusher/node/worker.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace nutmegusher::node
{

enum class request_origin : std::uint8_t
{
    caller,      // a member or a clerk
    own_upstream // a sub-call
};

// Serves one request. It ends in a whole answer, a refusal, or a connection
// that is closed without a clean end.
asio::awaitable<void>
serve_request(worker& owner, caller_exchange& exchange, request_origin origin);

} // namespace nutmegusher::node

#endif
