// Refuses requests at their entry for which services on their call path have
// too little room.
#ifndef NUTMEGUSHER_ROUTED_ENTRY_SHARES_HPP
#define NUTMEGUSHER_ROUTED_ENTRY_SHARES_HPP

#include "nutmegusher/routed/entry_request.hpp"

#include <optional>

namespace nutmegusher::routed::internal
{

// Returns the refusal of a request that is shed, before any work is done for
// it: the share that levels on the call path demand of its rank, of its class
// and of its team. A request that comes back as it was promised isn't shed.
// Requires: route and service are selected, and the request
// holds a token of its team if that has a quota.
[[nodiscard]] std::optional<node::refusal> check_shares(entry_request& request);

} // namespace nutmegusher::routed::internal

#endif
