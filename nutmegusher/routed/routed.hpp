// Routed requests: their route, not their class, determines where they go and
// whether they may be repeated.
//
// A request enters at the daemon of the host on which it begins, goes to the
// daemon beside an upstream of its service, and from there to that upstream
// only. `make_routed_extension` adds this to a process.
#ifndef NUTMEGUSHER_ROUTED_ROUTED_HPP
#define NUTMEGUSHER_ROUTED_ROUTED_HPP

#include "nutmegusher/routed/extension.hpp"
#include "nutmegusher/routed/local_upstream.hpp"
#include "nutmegusher/routed/request_dialect.hpp"

#endif
