// Ends a request at its entry with an answer.
#ifndef NUTMEGUSHER_ROUTED_ENTRY_ANSWER_HPP
#define NUTMEGUSHER_ROUTED_ENTRY_ANSWER_HPP

#include "nutmegusher/routed/entry_request.hpp"

#include <boost/asio/awaitable.hpp>

namespace nutmegusher::routed::internal
{

// Refuses the request, or forwards the upstream's error answer if it has one.
asio::awaitable<void> give_up(entry_request& request, node::refusal details);

// Writes a refusal.
asio::awaitable<void> refuse(entry_request& request, node::refusal details);

// Writes an upstream's answer.
asio::awaitable<void>
forward_answer(entry_request& request, routed_answer answer);

// Records that the caller has left, and that all work on its request has ended.
void note_cancelled(const entry_request& request);

// Records that the end of this process's stop interrupts the request.
void record_given_up(const entry_request& request);

// The refusal of a request while this process stops; daemons on other hosts can
// serve the caller.
[[nodiscard]] node::refusal stopping(const entry_request& request);

// Whether the request may be handed to an upstream now. Counts it if not, as
// this process would give it up before its time limit.
[[nodiscard]] bool ends_before_stop(const entry_request& request);

// The refusal of a request for which `ends_before_stop` is false.
[[nodiscard]] node::refusal outlasting_stop(const entry_request& request);

// The refusal of a request while no document of routes is known.
[[nodiscard]] node::refusal no_routes_known();

} // namespace nutmegusher::routed::internal

#endif
