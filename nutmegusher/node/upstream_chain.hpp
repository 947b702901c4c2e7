// The filter chain of a call at the daemon beside the upstream that runs it:
// parse the metadata, record the request, read the body, admission, claim,
// upstream.
#ifndef NUTMEGUSHER_NODE_UPSTREAM_CHAIN_HPP
#define NUTMEGUSHER_NODE_UPSTREAM_CHAIN_HPP

#include "nutmegusher/node/worker.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace nutmegusher::node
{

// Serves one stream of another daemon. Every call ends with a complete answer,
// a refusal, or a reset stream.
asio::awaitable<void>
serve_peer_call(worker& owner, std::shared_ptr<wire::server_stream> stream);

} // namespace nutmegusher::node

#endif
