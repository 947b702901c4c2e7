// The replicated log of the control hosts, and the configuration stored in it.
//
// - `replica`: Raft consensus as a pure state machine.
// - `disk`, `file_disk`, `group_storage`: durable storage of log and snapshots.
// - `state_machine`, `replicated_group`: one Raft group with its state machine.
// - `membership_plan.hpp`: the membership changes that replace a host.
// - `configuration_store`: the state machine of group 0.
// - `withdrawal_table`: the upstreams that have left, in the same group.
// - `load_identity`: the identity of a data folder.
//
// Contains no network code, threads or clock reads; only `file_disk` does input
// and output. The daemon's `control_host` connects groups to the network.
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
#include "nutmegusher/control/team_check.hpp"
#include "nutmegusher/control/withdrawal_table.hpp"

#endif
