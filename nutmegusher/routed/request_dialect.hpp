#ifndef NUTMEGUSHER_ROUTED_REQUEST_DIALECT_HPP
#define NUTMEGUSHER_ROUTED_REQUEST_DIALECT_HPP

#include "nutmegusher/node/call.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <functional>
#include <string>

namespace nutmegusher::routed
{

// The names by which callers and upstreams call what travels with a request,
// and the form of an answer that gives one up. Names are in lower case.
struct request_dialect
{
    // On requests and answers: names one attempt of a caller.
    std::string request_id = "nutmeg-request-id";
    // Whole milliseconds that the caller still waits.
    std::string time_left = "nutmeg-timeout-ms";
    // Set for the upstream: the service on the host where the request began.
    std::string caller_service = "nutmeg-caller-service";
    // Set for the upstream: which one is meant; another one refuses.
    std::string expected_upstream = "nutmeg-expected-upstream";
    // On answers: the upstream didn't run the request.
    std::string not_run = "nutmeg-not-run";
    // On answers: proves that the upstream gave it; empty: it gives no proof.
    std::string signature;

    // The head of the answer to a request that is given up on.
    std::function<wire::response_head(const node::refusal&)> refuse =
        node::to_head;
};

} // namespace nutmegusher::routed

#endif
