// The last filter of the entry chain: forwards the call to an upstream's
// daemon, and retries at another one where that can help.
#ifndef NUTMEGUSHER_NODE_FORWARD_FILTER_HPP
#define NUTMEGUSHER_NODE_FORWARD_FILTER_HPP

#include "nutmegusher/node/entry_call.hpp"

namespace nutmegusher::node
{

class forward_filter
{
public:
    template <class Next>
    asio::awaitable<void> operator()(entry_call& call, Next)
    {
        return run(call);
    }

private:
    static asio::awaitable<void> run(entry_call& call);
};

} // namespace nutmegusher::node

#endif
