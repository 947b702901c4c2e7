// The filter chain of a request at its entry daemon: the one that a member or a
// clerk is connected to, or, for a sub-call, the one beside the upstream that
// makes it. Order of the filters: classify, attach to the request, buffer the
// body, entry gate, forward.
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

// Serves one request. It ends with a complete answer, a refusal, or a
// connection that is closed without a clean end.
asio::awaitable<void>
serve_request(worker& owner, caller_exchange& exchange, request_origin origin);

} // namespace nutmegusher::node

#endif
