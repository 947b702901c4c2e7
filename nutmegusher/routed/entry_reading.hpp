// Reads a request at its entry and selects its route.
#ifndef NUTMEGUSHER_ROUTED_ENTRY_READING_HPP
#define NUTMEGUSHER_ROUTED_ENTRY_READING_HPP

#include "nutmegusher/routed/entry_request.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace nutmegusher::routed::internal
{

// Reads the request to its end. Returns false if it has ended: the caller has
// left, or was refused. `route` is null if no document of routes was known.
asio::awaitable<bool> read_request(entry_request& request);

// For a request that was read without a document of routes: waits for the
// first one and selects the route. Returns the refusal if that fails.
asio::awaitable<std::optional<node::refusal>>
wait_for_route(entry_request& request);

} // namespace nutmegusher::routed::internal

#endif
