// HTTP/2 streams between our own processes: cleartext, prior knowledge.
//
// A `session_pool` hands out live sessions, a session opens streams, a
// `server` runs a handler for each stream that a peer opens. Liveness is part
// of it: a connection that goes silent gets no new streams, is replaced, and
// fails its open streams with `stream_failure::silent`.
//
// Everything is bound to one io_context, which one thread runs; nothing here
// locks.
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
#include "nutmegusher/wire/server.hpp"
#include "nutmegusher/wire/server_stream.hpp"
#include "nutmegusher/wire/session_options.hpp"
#include "nutmegusher/wire/session_pool.hpp"
#include "nutmegusher/wire/stream_failure.hpp"

#endif
