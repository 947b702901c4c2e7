// The replicated log of the control hosts, and the configuration that it
// keeps.
//
// - `replica`: the agreement among hosts, as a pure state machine.
// - `disk`, `file_disk`, `group_storage`: what it keeps on disk.
// - `state_machine`, `replicated_group`: one group with its machine.
// - `membership_plan.hpp`: the steps that replace a host.
// - `configuration_store`: the machine of group 0.
// - `load_identity`: who a data folder is.
//
// No network, threads or clock reads; only `file_disk` does input and output.
// The daemon's `control_host` joins groups to connections.
#ifndef NUTMEGUSHER_CONTROL_CONTROL_HPP
#define NUTMEGUSHER_CONTROL_CONTROL_HPP

#include "nutmegusher/control/configuration_check.hpp"
#include "nutmegusher/control/configuration_store.hpp"
#include "nutmegusher/control/disk.hpp"
#include "nutmegusher/control/file_disk.hpp"
#include "nutmegusher/control/frame.hpp"
#include "nutmegusher/control/freshness_tracker.hpp"
#include "nutmegusher/control/group_storage.hpp"
#include "nutmegusher/control/host_identity.hpp"
#include "nutmegusher/control/lag_monitor.hpp"
#include "nutmegusher/control/membership_plan.hpp"
#include "nutmegusher/control/replica.hpp"
#include "nutmegusher/control/replica_log.hpp"
#include "nutmegusher/control/replicated_group.hpp"
#include "nutmegusher/control/route_check.hpp"
#include "nutmegusher/control/state_machine.hpp"
#include "nutmegusher/control/storage_error.hpp"

#endif
