// Service discovery: which hosts serve which service, and how daemons learn it.
//
// - `lease_registry` at a control host: the leases of the daemons, the changes
//   that each daemon still needs, and the exchange with other control hosts.
// - `upstream_view` at a daemon: the upstreams of the services that it calls,
//   and a stable subset of the upstreams of a large service.
// - `sync_schedule` at a daemon: which control host to sync with, and when.
// - `hedge_schedule` at a daemon: when to ask a second control host as well.
//
// All are state machines without I/O, for use by one thread. The caller passes
// the time in.
#ifndef NUTMEGUSHER_MEMBERSHIP_MEMBERSHIP_HPP
#define NUTMEGUSHER_MEMBERSHIP_MEMBERSHIP_HPP

#include "nutmegusher/membership/hedge_schedule.hpp"
#include "nutmegusher/membership/lease_registry.hpp"
#include "nutmegusher/membership/subset.hpp"
#include "nutmegusher/membership/sync_schedule.hpp"
#include "nutmegusher/membership/upstream_view.hpp"

#endif
