// Runs a call that isn't repeatable only while this daemon holds its claim.
#ifndef NUTMEGUSHER_NODE_CLAIM_FILTER_HPP
#define NUTMEGUSHER_NODE_CLAIM_FILTER_HPP

#include "nutmegusher/node/peer_call.hpp"

#include <functional>

namespace nutmegusher::node
{

// Pattern of load: none; this is for correctness. Without it a client's retry
// through another daemon, or an answer that arrives late, would run the call
// twice.
class claim_filter
{
public:
    template <class Next>
    asio::awaitable<void> operator()(peer_call& call, Next next)
    {
        if (call.metadata.repeatable)
        {
            co_await next();
            co_return;
        }
        co_await run_claimed(call, next);
    }

private:
    static asio::awaitable<void>
    run_claimed(peer_call& call, std::function<asio::awaitable<void>()> run);
};

} // namespace nutmegusher::node

#endif
