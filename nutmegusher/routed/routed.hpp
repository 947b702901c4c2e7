// The path of routed requests: those whose route, not whose class, says where
// they go and what may be repeated.
//
// A request enters at the daemon of the host on which it begins, goes to the
// daemon beside an upstream of its service, and from there to that upstream
// alone. `routed_extension` adds the path to a process.
#ifndef NUTMEGUSHER_ROUTED_ROUTED_HPP
#define NUTMEGUSHER_ROUTED_ROUTED_HPP

#include "nutmegusher/routed/extension.hpp"
#include "nutmegusher/routed/local_upstream.hpp"
#include "nutmegusher/routed/request_dialect.hpp"

#endif
