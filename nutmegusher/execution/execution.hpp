// At-most-once execution, and the state of running requests.
//
// - `claim_table` is the replicated record of which execution may run a
//   non-repeatable call, and of the call's first outcome.
// - `execution_guard` is the executor's side of one such call: it decides when
//   the call may start and which outcome is reported to the caller.
// - `request_ledger` holds what the requests that run at an upstream share with
//   their sub-calls: rank, deadline and retry tokens.
// - `attempt_sequence` numbers attempts; `request_digest` identifies the
//   content of a request.
//
// All but the ledger are pure state machines and not thread-safe.
#ifndef NUTMEGUSHER_EXECUTION_EXECUTION_HPP
#define NUTMEGUSHER_EXECUTION_EXECUTION_HPP

#include "nutmegusher/execution/attempt_sequence.hpp"
#include "nutmegusher/execution/claim_table.hpp"
#include "nutmegusher/execution/execution_guard.hpp"
#include "nutmegusher/execution/request_digest.hpp"
#include "nutmegusher/execution/request_ledger.hpp"
#include "nutmegusher/execution/retry_tokens.hpp"

#endif
