// Who serves what, and who needs to know.
//
// - `lease_registry` at a control host: the leases of the daemons, what changed
//   for whom, and the exchange with the other control hosts.
// - `upstream_view` at a daemon: the upstreams of the services that it calls,
//   and a stable subset of a large one.
// - `sync_schedule` at a daemon: which control host to use, and when.
// - `hedge_schedule` at a daemon: when to ask another one besides.
//
// All are pure state machines for one thread: time comes in as a parameter.
#ifndef NUTMEGUSHER_MEMBERSHIP_MEMBERSHIP_HPP
#define NUTMEGUSHER_MEMBERSHIP_MEMBERSHIP_HPP

#include "nutmegusher/membership/hedge_schedule.hpp"
#include "nutmegusher/membership/lease_registry.hpp"
#include "nutmegusher/membership/subset.hpp"
#include "nutmegusher/membership/sync_schedule.hpp"
#include "nutmegusher/membership/upstream_view.hpp"

#endif
