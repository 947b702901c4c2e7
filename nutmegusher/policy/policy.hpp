// Overload-control decisions: which calls are admitted, which wait and for how
// long, which are refused, which upstream serves them, and when a refused or
// failed call may be retried.
//
// Nothing here uses the network, starts threads or reads a clock: each decision
// takes a `time_point` and, where it needs randomness, a `random_engine&`. The
// classes aren't thread-safe; a caller that shares one between threads must
// hold a lock around it.
//
// - `admission_controller`: one per upstream, in the daemon on the upstream's
//   host.
// - `slot_queue`, `useful_slots`: the same for an upstream that reports how
//   many calls it serves concurrently.
// - `router`: one per called service, in the calling daemon.
// - `entry_gate`: one per daemon, where requests of members and clerks enter.
// - `crash_evidence`, `in_flight_requests`: one each per daemon; they find the
//   requests that crash the upstreams that run them.
// - `memory_budget`: one per process; which of the requests and answers that it
//   holds give way when its memory runs short.
// - `retry_budget`, `decide_retry`, `split_tokens`: at each hop that makes
//   calls.
#ifndef NUTMEGUSHER_POLICY_POLICY_HPP
#define NUTMEGUSHER_POLICY_POLICY_HPP

#include "nutmegusher/policy/admission_controller.hpp"
#include "nutmegusher/policy/admission_level.hpp"
#include "nutmegusher/policy/call.hpp"
#include "nutmegusher/policy/concurrency_limit.hpp"
#include "nutmegusher/policy/crash_evidence.hpp"
#include "nutmegusher/policy/entry_gate.hpp"
#include "nutmegusher/policy/error_meter.hpp"
#include "nutmegusher/policy/memory_budget.hpp"
#include "nutmegusher/policy/path_shares.hpp"
#include "nutmegusher/policy/rate_meter.hpp"
#include "nutmegusher/policy/rejection_control.hpp"
#include "nutmegusher/policy/repeat_share.hpp"
#include "nutmegusher/policy/repeat_window.hpp"
#include "nutmegusher/policy/reported_load.hpp"
#include "nutmegusher/policy/retry_after_schedule.hpp"
#include "nutmegusher/policy/retry_allowance.hpp"
#include "nutmegusher/policy/retry_budget.hpp"
#include "nutmegusher/policy/retry_policy.hpp"
#include "nutmegusher/policy/return_schedule.hpp"
#include "nutmegusher/policy/router.hpp"
#include "nutmegusher/policy/shed_control.hpp"
#include "nutmegusher/policy/shed_shares.hpp"
#include "nutmegusher/policy/shed_table.hpp"
#include "nutmegusher/policy/slot_queue.hpp"
#include "nutmegusher/policy/slow_start.hpp"
#include "nutmegusher/policy/sub_call_classifier.hpp"
#include "nutmegusher/policy/sub_call_dependence.hpp"
#include "nutmegusher/policy/useful_slots.hpp"

#endif
