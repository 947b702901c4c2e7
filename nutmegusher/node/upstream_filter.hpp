// The last filter of the upstream chain: calls the upstream.
#ifndef NUTMEGUSHER_NODE_UPSTREAM_FILTER_HPP
#define NUTMEGUSHER_NODE_UPSTREAM_FILTER_HPP

#include "nutmegusher/node/peer_call.hpp"

namespace nutmegusher::node
{

// Calls the upstream. The answer of a repeatable call is streamed to the peer.
// The answer of a call that isn't repeatable is buffered and left to
// `claim_filter`, even after the caller has given up, so that a later look-up
// by key finds the outcome.
class upstream_filter
{
public:
    template <class Next>
    asio::awaitable<void> operator()(peer_call& call, Next)
    {
        return run(call);
    }

private:
    static asio::awaitable<void> run(peer_call& call);
};

} // namespace nutmegusher::node

#endif
