// The end of the chain: the upstream itself.
#ifndef NUTMEGUSHER_NODE_UPSTREAM_FILTER_HPP
#define NUTMEGUSHER_NODE_UPSTREAM_FILTER_HPP

#include "nutmegusher/node/peer_call.hpp"

namespace nutmegusher::node
{

// Calls the upstream. A repeatable call's answer streams to the peer as it
// comes; the answer of one that may not be repeated is collected whole and
// left to its claim, also after the caller has given up, so that a later
// question by key finds the outcome.
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
