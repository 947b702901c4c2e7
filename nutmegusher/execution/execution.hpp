// At-most-once execution, and what belongs to one running request.
//
// - `claim_table` is the replicated record of who may run a call that may not
//   be repeated, and of its first outcome.
// - `execution_guard` is the executor's side of one such call: when it may be
//   started and what its caller may be told.
// - `request_ledger` holds what the requests that run at an upstream share with
//   their sub-calls: rank, deadline and the conserved retry tokens.
// - `attempt_sequence` and `request_digest` name an attempt and its content.
//
// Everything but the ledger is a pure state machine for one thread.
#ifndef NUTMEGUSHER_EXECUTION_EXECUTION_HPP
#define NUTMEGUSHER_EXECUTION_EXECUTION_HPP

#include "nutmegusher/execution/attempt_sequence.hpp"
#include "nutmegusher/execution/claim_table.hpp"
#include "nutmegusher/execution/execution_guard.hpp"
#include "nutmegusher/execution/request_digest.hpp"
#include "nutmegusher/execution/request_ledger.hpp"
#include "nutmegusher/execution/retry_tokens.hpp"

#endif
