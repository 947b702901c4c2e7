// Sends a request from its entry to upstreams until one answers it.
#ifndef NUTMEGUSHER_ROUTED_ENTRY_FORWARDING_HPP
#define NUTMEGUSHER_ROUTED_ENTRY_FORWARDING_HPP

#include "nutmegusher/routed/entry_request.hpp"

#include <boost/asio/awaitable.hpp>

namespace nutmegusher::routed::internal
{

// Sends the request to one upstream after another, as long as a retry is
// allowed and can help, and writes the answer or the refusal.
asio::awaitable<void> send_until_answered(entry_request& request);

} // namespace nutmegusher::routed::internal

#endif
