// HTTP/2 streams between the processes of a deployment: cleartext, with prior
// knowledge.
//
// A `session_pool` hands out live sessions, a session opens streams, and a
// `server` runs a handler for each stream that a peer opens. Liveness detection
// is built in: a connection that goes silent gets no new streams, is replaced,
// and its open streams fail with `stream_failure::silent`.
//
// All objects are bound to one io_context that a single thread runs; nothing
// here locks.
//
//     auto session = co_await pool.get(endpoint);
//     auto stream = (*session)->open(head, /*end_stream=*/true);
//     auto answer = co_await (*stream)->read_head();
#ifndef NUTMEGUSHER_WIRE_WIRE_HPP
#define NUTMEGUSHER_WIRE_WIRE_HPP

#include "nutmegusher/wire/call.hpp"
#include "nutmegusher/wire/client_session.hpp"
#include "nutmegusher/wire/client_stream.hpp"
#include "nutmegusher/wire/header.hpp"
#include "nutmegusher/wire/interruptible.hpp"
#include "nutmegusher/wire/server.hpp"
#include "nutmegusher/wire/server_stream.hpp"
#include "nutmegusher/wire/session_options.hpp"
#include "nutmegusher/wire/session_pool.hpp"
#include "nutmegusher/wire/stream_failure.hpp"
#include "nutmegusher/wire/task_group.hpp"

#endif
